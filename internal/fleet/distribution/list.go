package distribution

import "github.com/vmihailenco/msgpack/v5"

// MaxList is how many elements a List that comes from outside may have.
const MaxList = MaxHosts

// List is a list that is decoded with a bound, and for which memory is taken as its elements
// come: the codec would take all at once that a message claims to hold.
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
