// Package msgpackrpc implements MessagePack-RPC on stream connections, as in its
// published specification (msgpack-rpc, spec.md): a request is
// [0, msgid, method, params], a response [1, msgid, error, result] and a
// notification [2, method, params]. Messages follow each other without separators.
//
// The package owns connections and the message ids on them. It guarantees that each
// call ends with its context or its connection at the latest, that a response reaches
// its own call and no other, and that whatever a peer sends takes bounded memory and
// never causes a panic. It does not define methods, authorize callers or retry calls.
package msgpackrpc
