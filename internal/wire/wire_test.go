package wire

import (
	"encoding/json"
	"testing"
)

// decode decodes a line, which must be valid.
func decode(t *testing.T, line string) Event {
	t.Helper()
	var d Decoder
	var e Event
	if err := d.Decode([]byte(line), &e); err != nil {
		t.Fatalf("decoding %s: %v", line, err)
	}
	return e
}

// The values of a message arrive in the fields of its event, and unknown keys are ignored.
func TestDecode(t *testing.T) {
	e := decode(t, `{"t":"tick","tsUs":8412250,"turn":12}`)
	if e.Kind != BatchStart || e.TimeMicros != 8412250 || e.Batch != 12 {
		t.Errorf("decoding tick: got %+v, want TimeMicros 8412250 and Batch 12", e)
	}
	e = decode(t, `{"t":"knock","sidecarId":"sidecar/3","id":"069fa6f45d3a91c4","resource":"k:x","cls":"c","project":"p","clientDeadlineUs":8652250,"new":{"a":[1]}}`)
	if e.Kind != RequestArrived || e.ID != 0x069fa6f45d3a91c4 || string(e.Key) != "k:x" || string(e.Class) != "c" || string(e.Tenant) != "p" || e.DeadlineMicros != 8652250 {
		t.Errorf("decoding knock: got %+v, want the values of the message", e)
	}
	e = decode(t, `{"t":"finished","sidecarId":"s","id":"069fa6f45d3a91c4","copy":2,"noMore":true,"ending":429,"feedback":{"cpu_share":0.5,"odd":1}}`)
	if e.Attempt != 2 || !e.Finished || e.OutcomeCode != 429 || !e.Report.HasUtilization || e.Report.Utilization != 0.5 || e.Report.HasInFlight {
		t.Errorf("decoding finished: got %+v, want the values of the message and a report with a utilization only", e)
	}
	e = decode(t, `{"t":"checked","sidecarId":"s","server":"10.0.0.1:1","ending":200,"durationUs":1400,"feedback":{"busy_reqs":3}}`)
	if e.Kind != ProbeAnswered || string(e.Server) != "10.0.0.1:1" || e.OutcomeCode != 200 || !e.Report.HasInFlight || e.Report.InFlight != 3 {
		t.Errorf("decoding checked: got %+v, want the values of the message and a report of 3 requests in flight", e)
	}
	e = decode(t, `{"t":"ledger","list":3,"hosts":[{"health":"SERVING","powerHint":1.5,"server":"10.0.0.1:1","startTimeUs":6,"unitGroup":4,"generationHw":"g","az":"z"}]}`)
	if want := (ListEntry{Server: "10.0.0.1:1", Health: "SERVING", Zone: "z", CapacityHint: 1.5, StartedMicros: 6, Group: 4}); e.ListNumber != 3 || len(e.Entries) != 1 || e.Entries[0] != want {
		t.Errorf("decoding ledger: got %+v, want list 3 with the entry %+v", e, want)
	}
	e = decode(t, `{"t":"powerOn","sidecarId":"s","entropy":18446744073709551615,"env":{"zone":"z","overShareWorth":0.5,"tenants":[{"name":"p","allowancePerS":7.5,"share":1}],"unknown":1,"classes":[{"name":"c","promiseUs":5}]}}`)
	if e.Seed != 1<<64-1 || !json.Valid(e.Settings) {
		t.Errorf("decoding powerOn: got seed %d, settings %s; want the maximum seed and valid JSON", e.Seed, e.Settings)
	}
}

// Lines that are not known messages, and messages without a required key, are rejected.
func TestDecodeErrors(t *testing.T) {
	for _, line := range []string{
		"", "nonsense", "[]", `{"t":"new"}`, `{}`, `{"t":"wakeup","cookie":1}`,
		`{"t":"knock","sidecarId":"s","id":"xyz"}`, `{"t":"powerOn","sidecarId":"s"}`,
		`{"t":"ledger","list":0,"hosts":[{}]}`,
	} {
		var d Decoder
		var e Event
		if err := d.Decode([]byte(line), &e); err == nil {
			t.Errorf("decoding %q: got no error, want one", line)
		}
	}
}

// Every action is written as a JSON object with exactly the expected keys and values.
func TestReply(t *testing.T) {
	escaped := "a\"b\\c\né" // needs escapes in JSON
	for _, test := range []struct {
		write func(r *Reply)
		want  map[string]any
	}{
		{func(r *Reply) { r.Send("s", 0xab, escaped, 80) }, map[string]any{"t": "route", "sidecarId": "s", "id": "00000000000000ab", "server": escaped, "giveUpAfterUs": 80.0}},
		{func(r *Reply) { r.Cancel("s", 1, 2) }, map[string]any{"t": "abortAttempt", "sidecarId": "s", "id": "0000000000000001", "copy": 2.0}},
		{func(r *Reply) { r.Reject("s", 1, 9) }, map[string]any{"t": "notNow", "sidecarId": "s", "id": "0000000000000001", "holdOffUs": 9.0}},
		{func(r *Reply) { r.Fail("s", 1) }, map[string]any{"t": "dropRequest", "sidecarId": "s", "id": "0000000000000001"}},
		{func(r *Reply) { r.SetTimer("s", 7, 5) }, map[string]any{"t": "setTimer", "sidecarId": "s", "cookie": 7.0, "inUs": 5.0}},
		{func(r *Reply) { r.CloseIdle("s", "x") }, map[string]any{"t": "dropConns", "sidecarId": "s", "server": "x"}},
		{func(r *Reply) { r.Subscribe("s") }, map[string]any{"t": "keepInformed", "sidecarId": "s", "on": true}},
		{func(r *Reply) { r.ReportPanic("s", escaped) }, map[string]any{"t": "bailOut", "sidecarId": "s", "reasonText": escaped}},
		{func(r *Reply) { r.EndBatch(3) }, map[string]any{"t": "eor", "turn": 3.0}},
	} {
		var r Reply
		test.write(&r)
		var got map[string]any
		if err := json.Unmarshal(r.Bytes(), &got); err != nil {
			t.Errorf("parsing the written action %s: %v", r.Bytes(), err)
			continue
		}
		if len(got) != len(test.want) {
			t.Errorf("the action has %d keys, want %d: got %v, want %v", len(got), len(test.want), got, test.want)
		}
		for key, value := range test.want {
			if got[key] != value {
				t.Errorf("action %s: key %s has value %v, want %v", r.Bytes(), key, got[key], value)
			}
		}
	}
}

// No line makes Decode panic, and every decoded event about an instance names the instance.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"t":"end"}`, `{"t":"wakeup","sidecarId":"s","cookie":77}`,
		`{"t":"finished","sidecarId":"s","id":"869fa6f45d3a91c4","copy":-1,"ending":1e99,"feedback":[]}`,
		`{"t":"ledger","list":99999999999999999999,"hosts":{}}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		var d Decoder
		var e Event
		if err := d.Decode(line, &e); err == nil && e.Kind > ServerList && len(e.Instance) == 0 {
			t.Errorf("decoding %q: got an event without an instance and no error", line)
		}
	})
}

// Any string is written as valid JSON.
func FuzzReplyString(f *testing.F) {
	f.Add("plain")
	f.Add("\x00\"\\ \u2028")
	f.Fuzz(func(t *testing.T, s string) {
		var r Reply
		r.ReportPanic("i", s)
		if !json.Valid(r.Bytes()) {
			t.Errorf("writing %q: got %s, want valid JSON", s, r.Bytes())
		}
	})
}
