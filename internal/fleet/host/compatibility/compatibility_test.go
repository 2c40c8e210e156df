package compatibility

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	base := Versions{Program: "sidecar", HandOver: 1, Snapshot: 1, Record: 1, Agent: 1}
	with := func(edit func(*Versions)) Versions { v := base; edit(&v); return v }
	allUses := Use{HandOver: true, Record: true, MayRollBack: true}
	for name, c := range map[string]struct {
		previous, next Versions
		use            Use
		want           string // part of the error; "" for none
	}{
		"the same versions":                                         {base, base, allUses, ""},
		"a program that does not report versions":                   {FirstVersions, base, Use{HandOver: true, MayRollBack: true}, ""},
		"a different snapshot format":                               {base, with(func(v *Versions) { v.Snapshot = 2 }), allUses, ""},
		"a different hand-over protocol":                            {base, with(func(v *Versions) { v.HandOver = 2 }), allUses, "versions 1 and 2 of the hand-over"},
		"a different hand-over protocol that is not used":           {base, with(func(v *Versions) { v.HandOver = 2 }), Use{Record: true}, ""},
		"a different program":                                       {base, with(func(v *Versions) { v.Program = "simulator" }), Use{}, "the other simulator"},
		"a later agent interface":                                   {base, with(func(v *Versions) { v.Agent = 2 }), Use{}, "upgrade the agent first"},
		"no support for the idempotency store":                      {base, with(func(v *Versions) { v.Record = 0 }), allUses, "-tags record"},
		"an older schema of the idempotency store":                  {with(func(v *Versions) { v.Record = 2 }), base, allUses, "version 1 of the idempotency store's schema, and the store has version 2"},
		"a newer schema of the idempotency store":                   {base, with(func(v *Versions) { v.Record = 2 }), allUses, "can't be rolled back"},
		"a newer schema of the idempotency store, without rollback": {base, with(func(v *Versions) { v.Record = 2 }), Use{Record: true}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			err := Check(c.previous, c.next, c.use)
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("Check() = %v, want an error with %q (\"\": no error)", err, c.want)
			}
		})
	}
}

func TestQuery(t *testing.T) {
	for command, want := range map[string]Versions{
		"echo '{\"program\":\"x\",\"hand_over\":7,\"agent\":1}'":        {Program: "x", HandOver: 7, Agent: 1},
		"echo '{\"program\":\"fawnrock\",\"hand_over\":1,\"agent\":1}'": {Program: "sidecar", HandOver: 1, Agent: 1},
		"exit 1":       FirstVersions,
		"echo nothing": FirstVersions,
		"sleep 60":     FirstVersions,
	} {
		path := filepath.Join(t.TempDir(), "program")
		if err := os.WriteFile(path, []byte("#!/bin/sh\nPATH=/bin:/usr/bin\n"+command+"\n"), 0o700); err != nil {
			t.Fatalf("writing the program: %v", err)
		}
		if got := Query(context.Background(), path); got != want {
			t.Errorf("Query() of a program that runs %q = %+v, want %+v", command, got, want)
		}
	}
}
