package api

// ReleaseIn names a release by its content hash.
type ReleaseIn struct {
	Release string `msgpack:"release"`
}

// ChunkIn is a part of a release's file, to be written at an offset.
type ChunkIn struct {
	Release string `msgpack:"release"`
	File    string `msgpack:"file"` // "sidecar" or "overlay.json"
	Offset  int64  `msgpack:"offset"`
	Data    []byte `msgpack:"data"`
}

// ReadIn requests a part of a release's file.
type ReadIn struct {
	Release string `msgpack:"release"`
	File    string `msgpack:"file"`
	Offset  int64  `msgpack:"offset"`
}

// ReadOut is a part of a release's file.
type ReadOut struct {
	Data []byte `msgpack:"data"`
	Size int64  `msgpack:"size"` // of the complete file
}

// ReleaseOut reports whether an agent has a complete release and, if it has not, how much of the release
// it has received so far.
type ReleaseOut struct {
	Complete bool  `msgpack:"have"`
	Sidecar  int64 `msgpack:"sidecar"` // bytes received of the program
	Overlay  int64 `msgpack:"overlay"` // bytes received of the overlay
}
