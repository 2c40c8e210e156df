package api

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"martendrum/internal/fleet/distribution"
	"martendrum/internal/goldentest"
)

// isReported reports whether a message is also written as JSON, which it is if each of its fields has a
// json tag. message is a pointer to a struct.
func isReported(message any) bool {
	fields := reflect.TypeOf(message).Elem()
	for n := range fields.NumField() {
		if _, tagged := fields.Field(n).Tag.Lookup("json"); !tagged {
			return false
		}
	}
	return true
}

// TestMessagesOfEarlierBuild checks that every message of the protocol between agents and commands, with
// a value in every field, is encoded as an earlier build encoded it, in MessagePack and in the JSON of
// reports, and that decoding loses nothing.
func TestMessagesOfEarlierBuild(t *testing.T) {
	var lines bytes.Buffer
	for _, message := range []any{
		&Error{}, &HelloIn{}, &HelloOut{}, &ListOut{}, &InstanceIn{}, &InspectOut{}, &LogsIn{}, &LogsOut{}, &AuditIn{}, &AuditOut{},
		&ReleaseIn{}, &ReleaseOut{}, &ChunkIn{}, &ReadIn{}, &ReadOut{}, &OpenIn{}, &OpenOut{}, &CloseIn{}, &AbortIn{}, &StatusIn{}, &OpOut{},
		&OpsOut{}, &NoteIn{}, &StepIn{}, &Step{}, &MetricsIn{}, &MetricsOut{},
		&distribution.Put{}, &SettingsPutOut{}, &SettingsGetIn{}, &SettingsWatchIn{}, &SettingsWatchOut{}, &SettingsAckIn{}, &SettingsFollowIn{}, &SettingsReportIn{},
		&SettingsReportOut{}, &SettingsGetOut{}, &SettingsStatusIn{}, &SettingsStatusOut{}, &SettingsWriter{}, &InstanceSettings{},
	} {
		goldentest.Fill(message)
		packed, err := msgpack.Marshal(message)
		if err != nil {
			t.Fatalf("encoding %T as MessagePack: %v", message, err)
		}
		fmt.Fprintln(&lines, hex.EncodeToString(packed))
		if isReported(message) {
			text, err := json.Marshal(message)
			if err != nil {
				t.Fatalf("encoding %T as JSON: %v", message, err)
			}
			fmt.Fprintf(&lines, "%s\n", text)
		}
		decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		if err := msgpack.Unmarshal(packed, decoded); err != nil {
			t.Errorf("decoding %T: %v", message, err)
		}
		if repacked, err := msgpack.Marshal(decoded); err != nil || !bytes.Equal(repacked, packed) {
			t.Errorf("%T decoded and encoded again = %x, %v; want %x", message, repacked, err, packed)
		}
	}
	goldentest.Compare(t, "messages.txt", lines.Bytes())
}
