package agent

import (
	"context"
	"os"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/release"
)

// releaseStat returns whether the agent has the whole release, and how many bytes of each of the
// release's files the agent has received so far.
func (a *Agent) releaseStat(_ context.Context, _ *caller, in *api.ReleaseIn) (any, error) {
	if !release.Valid(in.Release) {
		return nil, api.Errorf(api.InvalidParams, "%q is not the hash of a release", in.Release)
	}
	status := a.releases.Status(in.Release)
	return &api.ReleaseOut{Complete: status.Complete, Sidecar: status.Sidecar, Overlay: status.Overlay}, nil
}

// releaseWrite writes a chunk of a release's file at an offset, and returns the release's status.
func (a *Agent) releaseWrite(ctx context.Context, c *caller, in *api.ChunkIn) (any, error) {
	if err := a.releases.Write(in.Release, in.File, in.Offset, in.Data); err != nil {
		return nil, api.Errorf(api.InvalidRelease, "agent %s: %v", a.config.Name, err)
	}
	return a.releaseStat(ctx, c, &api.ReleaseIn{Release: in.Release})
}

// releaseDone verifies a release that was written completely and makes it available.
func (a *Agent) releaseDone(ctx context.Context, c *caller, in *api.ReleaseIn) (any, error) {
	if err := a.releases.Commit(in.Release); err != nil {
		return nil, api.Errorf(api.InvalidRelease, "agent %s: %v", a.config.Name, err)
	}
	return a.releaseStat(ctx, c, in)
}

// maxReleaseChunk is the maximum number of bytes of a release's file in one response.
const maxReleaseChunk = 1 << 20

// releaseRead returns a chunk of a release's file from an offset, and the size of the file. The
// chunk is empty at and beyond the end of the file.
func (a *Agent) releaseRead(_ context.Context, _ *caller, in *api.ReadIn) (any, error) {
	if !release.Valid(in.Release) || in.File != release.Sidecar && in.File != release.Overlay || in.Offset < 0 {
		return nil, api.Errorf(api.InvalidParams, "file %q of release %q from offset %d: no such file or offset", in.File, in.Release, in.Offset)
	}
	f, err := os.Open(a.releases.Path(in.Release, in.File))
	if err != nil {
		return nil, api.Errorf(api.NoRelease, "agent %s: %v", a.config.Name, err)
	}
	defer f.Close()
	st, err := f.Stat()
	if err != nil {
		return nil, err
	}
	chunk := make([]byte, max(0, min(maxReleaseChunk, st.Size()-in.Offset)))
	n, err := f.ReadAt(chunk, in.Offset)
	if n < len(chunk) && err != nil {
		return nil, err
	}
	return &api.ReadOut{Data: chunk[:n], Size: st.Size()}, nil
}
