package main

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
)

// An invalid configuration is reported with the field, what is wrong, and advice.
func TestConfigErrorsNameFieldAndAdvice(t *testing.T) {
	f := newFixture(t, 256)
	good := f.configText(t)
	for want, text := range map[string]string{
		"config: settings is missing":                                  `{"listen":"a:1","discovery":"a:1","seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":64}}`,
		"config: limits.cores must be above 0":                         mustReplace(t, good, `"cores":4`, `"cores":0`),
		"config: limits.memory_mb must be at least 32":                 mustReplace(t, good, `"memory_mb":512`, `"memory_mb":31`),
		"config: limits.sockets must be at least 32":                   mustReplace(t, good, `"sockets":256`, `"sockets":31`),
		"config: settings.classes[0].hardLimitUs must be above 0":      mustReplace(t, good, `"hardLimitUs":20000000`, `"hardLimitUs":0`),
		"config: settings.caps.dialTimeoutUs must be above 0":          mustReplace(t, good, `"dialTimeoutUs":5000000`, `"dialTimeoutUs":0`),
		"config: settings.caps.connIdleUs must be above 0":             mustReplace(t, good, `"connIdleUs":30000000`, `"connIdleUs":0`),
		`config: seed: strconv.ParseUint: parsing "x": invalid syntax`: mustReplace(t, good, `"seed":"1f"`, `"seed":"x"`),
	} {
		f.writeConfig(t, text)
		_, err := loadConfig(f.getenv)
		checkConfigError(t, err, want)
	}
}

// A file that omits a key of the one in force is reported with the key and advice.
func TestReloadErrorNamesMissingKey(t *testing.T) {
	f := newFixture(t, 256)
	inForce, err := loadConfig(f.getenv)
	if err != nil {
		t.Fatal(err)
	}
	f.writeConfig(t, mustReplace(t, f.configText(t), `,"mostHeld":100`, ""))
	_, err = reloadConfig(f.getenv, inForce)
	checkConfigError(t, err, "config: settings.caps.mostHeld is missing; the file in force has it")
}

// Causes stay visible to errors.Is: a file that is not set or not there, an address in use.
func TestConfigErrorWrapsCause(t *testing.T) {
	_, err := loadConfig(func(string) string { return "" })
	checkConfigError(t, err, "BALANCER_CONFIG is not set")
	path := filepath.Join(t.TempDir(), "absent")
	_, err = loadConfig(func(name string) string { return map[string]string{envConfig: path}[name] })
	checkConfigError(t, err, "BALANCER_CONFIG: open "+path+": no such file or directory")
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v does not wrap its cause", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	f := newFixture(t, 256)
	c, err := loadConfig(f.getenv)
	if err != nil {
		t.Fatal(err)
	}
	c.listenAddr = listener.Addr().String()
	err = startAlone(c, &resources{config: c}, signals{})
	checkConfigError(t, err, "listen: listen tcp "+c.listenAddr+": bind: address already in use")
}

// checkConfigError checks an error's text, its type and that it has advice.
func checkConfigError(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
	if invalid, ok := errors.AsType[*ConfigError](err); !ok || invalid.Advice() == "" {
		t.Errorf("%v has no advice", err)
	}
}
