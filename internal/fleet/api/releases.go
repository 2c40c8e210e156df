package api

// ReleaseIn names a release by its content hash.
type ReleaseIn struct {
	Release string `msgpack:"release"`
}

type ChunkIn struct {
	Release string `msgpack:"release"`
	File    string `msgpack:"file"` // "sidecar" or "overlay.json"
	Offset  int64  `msgpack:"offset"`
	Data    []byte `msgpack:"data"`
}

// ReadIn asks for a piece of a release's file.
type ReadIn struct {
	Release string `msgpack:"release"`
	File    string `msgpack:"file"`
	Offset  int64  `msgpack:"offset"`
}

type ReadOut struct {
	Data []byte `msgpack:"data"`
	Size int64  `msgpack:"size"` // of the whole file
}

type ReleaseOut struct {
	Have    bool  `msgpack:"have"`
	Sidecar int64 `msgpack:"sidecar"` // bytes received of it so far
	Overlay int64 `msgpack:"overlay"`
}
