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

// uploadChunkBytes is the maximum number of bytes of a release that one call carries.
const uploadChunkBytes = 512 << 10

// Upload sends a release to agents concurrently and continues where an earlier attempt stopped. hash is
// the release's hash; sidecar and overlay are the paths of its files, and overlay may be "". sent, if
// not nil, is called for each agent once it has the complete release, possibly concurrently. The error
// joins those of all agents.
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
	if have.Complete {
		return a.Call(ctx, api.ReleaseDone, &api.ReleaseIn{Release: hash}, &have) // the agent verifies it again
	}
	for _, file := range []struct {
		name, path string
		offset     int64 // bytes that the agent already has
	}{{release.Sidecar, sidecar, have.Sidecar}, {release.Overlay, overlay, have.Overlay}} {
		if file.path == "" {
			continue
		}
		if err := a.uploadFile(ctx, hash, file.name, file.path, file.offset); err != nil {
			return err
		}
	}
	return a.Call(ctx, api.ReleaseDone, &api.ReleaseIn{Release: hash}, &have)
}

// uploadFile sends the file at path, from an offset to its end, as the file of the release that is
// called name.
func (a *Agent) uploadFile(ctx context.Context, hash, name, path string, offset int64) error {
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	buf := make([]byte, uploadChunkBytes)
	for {
		n, err := in.ReadAt(buf, offset)
		if n > 0 {
			if err := a.Call(ctx, api.ReleaseWrite, &api.ChunkIn{Release: hash, File: name, Offset: offset, Data: buf[:n]}, nil); err != nil {
				return err
			}
			offset += int64(n)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
