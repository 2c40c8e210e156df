package distribution

import "github.com/vmihailenco/msgpack/v5"

// MaxList is the maximum number of elements of a List that comes from outside.
const MaxList = MaxHosts

// List is a list with a bound on its decoded length. Memory is allocated as elements arrive,
// because the codec would allocate at once whatever length a message claims.
type List[T any] []T

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *List[T]) DecodeMsgpack(decoder *msgpack.Decoder) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if length > MaxList {
		return &LimitError{What: "elements of a list", Limit: MaxList}
	}
	*l = nil
	for range length {
		var element T
		if err := decoder.Decode(&element); err != nil {
			return err
		}
		*l = append(*l, element)
	}
	return nil
}
