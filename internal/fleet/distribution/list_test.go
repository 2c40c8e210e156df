package distribution

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"slices"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// listMessage encodes a map with one list that claims a number of elements and is followed by
// another number of nil elements.
func listMessage(key string, claimed, following int) []byte {
	data := append([]byte{0x81, 0xa0 | byte(len(key))}, key...)
	data = binary.BigEndian.AppendUint32(append(data, 0xdd), uint32(claimed))
	return append(data, bytes.Repeat([]byte{0xc0}, following)...)
}

// allocated returns the number of bytes that a call allocates.
func allocated(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Decoding a message of 1 MiB, the maximum of a connection, must not allocate hundreds of MiB.
func TestListsAreDecodedWithABound(t *testing.T) {
	const limit = 8 << 20
	cases := map[string]struct {
		data []byte
		into any
	}{
		"resources":           {listMessage("resources", 1<<20, 1<<20), &Update{}},
		"truncated resources": {listMessage("resources", 1<<20, 1), &Update{}},
		"changes":             {listMessage("changes", 1<<20, 1<<20), &Update{}},
		"rejections":          {listMessage("refused", 1<<20, 1<<20), &HostState{}},
		"truncated map":       {[]byte{0xdf, 0x0f, 0xff, 0xff, 0xff}, &Update{}},
	}
	for name, c := range cases {
		var err error
		if bytes := allocated(func() { err = msgpack.Unmarshal(c.data, c.into) }); bytes > limit || err == nil {
			t.Errorf("decoding of %s: %d bytes allocated, error %v; want an error and at most %d bytes", name, bytes, err, limit)
		}
	}
}

func TestListRoundTrip(t *testing.T) {
	for _, update := range []Update{{}, {Resources: []Resource{}}, {Resources: []Resource{version("a", 1), version("b", 2)}}} {
		data, err := msgpack.Marshal(&update)
		if err != nil {
			t.Fatal(err)
		}
		decoded := Update{Resources: []Resource{version("old", 1)}}
		if err := msgpack.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		if len(update.Resources) > 0 && !slices.EqualFunc(decoded.Resources, update.Resources, sameResource) {
			t.Errorf("decoded resources %v, want %v", decoded.Resources, update.Resources)
		}
	}
	var list List[int]
	if err := msgpack.Unmarshal([]byte{0xc0}, &list); err != nil || list != nil {
		t.Errorf("decoding of nil = %v, %v; want a nil list", list, err)
	}
}
