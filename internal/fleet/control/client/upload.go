package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/release"
)

// uploadChunk bounds the bytes of a release in one call.
const uploadChunk = 512 << 10

// Upload sends a release to agents concurrently and continues where an earlier attempt stopped.
// sent, if not nil, is called for each agent that has the complete release.
func (f *Fleet) Upload(ctx context.Context, agents []*Agent, hash, sidecar, overlay string, sent func(host string)) error {
	return errors.Join(ForEach(agents, func(_ int, a *Agent) error {
		if err := a.upload(ctx, hash, sidecar, overlay); err != nil {
			return fmt.Errorf("release %.12s: %w", hash, err)
		}
		if sent != nil {
			sent(a.Host.Name)
		}
		return nil
	})...)
}

// upload sends the missing parts of a release to the agent and completes it there.
func (a *Agent) upload(ctx context.Context, hash, sidecar, overlay string) error {
	var have api.ReleaseOut
	if err := a.Call(ctx, api.ReleaseStat, &api.ReleaseIn{Release: hash}, &have); err != nil {
		return err
	}
	if have.Have {
		return a.Call(ctx, api.ReleaseDone, &api.ReleaseIn{Release: hash}, &have) // verifies it
	}
	for _, file := range []struct {
		name, path string
		at         int64
	}{{release.Sidecar, sidecar, have.Sidecar}, {release.Overlay, overlay, have.Overlay}} {
		if file.path == "" {
			continue
		}
		if err := a.uploadFile(ctx, hash, file.name, file.path, file.at); err != nil {
			return err
		}
	}
	return a.Call(ctx, api.ReleaseDone, &api.ReleaseIn{Release: hash}, &have)
}

// uploadFile sends a file from an offset on.
func (a *Agent) uploadFile(ctx context.Context, hash, name, path string, at int64) error {
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	buf := make([]byte, uploadChunk)
	for {
		n, err := in.ReadAt(buf, at)
		if n > 0 {
			if err := a.Call(ctx, api.ReleaseWrite, &api.ChunkIn{Release: hash, File: name, Offset: at, Data: buf[:n]}, nil); err != nil {
				return err
			}
			at += int64(n)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
