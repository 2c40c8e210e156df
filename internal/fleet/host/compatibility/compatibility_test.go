package compatibility

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	one := Versions{Program: "sidecar", HandOver: 1, Snapshot: 1, Record: 1, Agent: 1}
	with := func(edit func(*Versions)) Versions { v := one; edit(&v); return v }
	all := Use{HandOver: true, Record: true, MayRollBack: true}
	for name, c := range map[string]struct {
		before, now Versions
		use         Use
		want        string // of the error; "" for none
	}{
		"the same": {one, one, all, ""},
		"a program that does not report versions": {First, one, Use{HandOver: true, MayRollBack: true}, ""},
		"another snapshot":                        {one, with(func(v *Versions) { v.Snapshot = 2 }), all, ""},
		"another hand-over":                       {one, with(func(v *Versions) { v.HandOver = 2 }), all, "versions 1 and 2 of the hand-over"},
		"another hand-over, not used":             {one, with(func(v *Versions) { v.HandOver = 2 }), Use{Record: true}, ""},
		"another program":                         {one, with(func(v *Versions) { v.Program = "simulator" }), Use{}, "the other simulator"},
		"a later agent interface":                 {one, with(func(v *Versions) { v.Agent = 2 }), Use{}, "upgrade the agent first"},
		"no record":                               {one, with(func(v *Versions) { v.Record = 0 }), all, "-tags record"},
		"an older record":                         {with(func(v *Versions) { v.Record = 2 }), one, all, "schema 1, and that is at 2"},
		"a newer record":                          {one, with(func(v *Versions) { v.Record = 2 }), all, "can't be taken back"},
		"a newer record without rollback":         {one, with(func(v *Versions) { v.Record = 2 }), Use{Record: true}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			err := Check(c.before, c.now, c.use)
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v; want %q", err, c.want)
			}
		})
	}
}

func TestQuery(t *testing.T) {
	for text, want := range map[string]Versions{
		"echo '{\"program\":\"x\",\"hand_over\":7,\"agent\":1}'":        {Program: "x", HandOver: 7, Agent: 1},
		"echo '{\"program\":\"fawnrock\",\"hand_over\":1,\"agent\":1}'": {Program: "sidecar", HandOver: 1, Agent: 1},
		"exit 1":       First,
		"echo nothing": First,
		"sleep 60":     First,
	} {
		path := filepath.Join(t.TempDir(), "program")
		if err := os.WriteFile(path, []byte("#!/bin/sh\nPATH=/bin:/usr/bin\n"+text+"\n"), 0o700); err != nil {
			t.Fatal(err)
		}
		if got := Query(context.Background(), path); got != want {
			t.Errorf("%s: %+v, want %+v", text, got, want)
		}
	}
}
