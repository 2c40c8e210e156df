// Package msgpackrpc is MessagePack-RPC on stream connections, after its
// published specification (msgpack-rpc, spec.md): a request is
// [0, msgid, method, params], a response [1, msgid, error, result] and a
// notification [2, method, params], one after the other with nothing between.
//
// It owns connections and the message ids on them. It promises that each call
// ends, that an answer reaches the call it was made for and no other, and that
// bytes from outside cost bounded memory and never a panic. What methods mean,
// who may call them and whether one may be sent again is its callers' matter.
package msgpackrpc
