package distribution

import "github.com/vmihailenco/msgpack/v5"

// MaxList is the maximum number of elements in a decoded List.
const MaxList = MaxHosts

// List is a list with a bound on its decoded length. Memory is allocated as the elements are decoded,
// because the codec itself would allocate the length that a message claims before it reads them.
type List[T any] []T

// DecodeMsgpack implements msgpack.CustomDecoder. It returns a *LimitError for a list of more than
// MaxList elements.
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
