package main

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
)

// TestConfigErrorsNameFieldAndAdvice checks that the error of an invalid configuration names the
// field and what is wrong with it, and has advice.
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

// TestReloadErrorNamesMissingKey checks that the error of a new file that omits a key of the file
// in force names the key and has advice.
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

// TestConfigErrorWrapsCause checks the errors of a file that is not set, a file that does not
// exist, and an address in use, and that errors.Is finds the cause of an error.
func TestConfigErrorWrapsCause(t *testing.T) {
	_, err := loadConfig(func(string) string { return "" })
	checkConfigError(t, err, "BALANCER_CONFIG is not set")
	path := filepath.Join(t.TempDir(), "absent")
	_, err = loadConfig(func(name string) string { return map[string]string{envConfig: path}[name] })
	checkConfigError(t, err, "BALANCER_CONFIG: open "+path+": no such file or directory")
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %q: got errors.Is(err, os.ErrNotExist) = false, want true", err)
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
	err = startWithoutHandover(c, &resources{config: c}, signalChannels{})
	checkConfigError(t, err, "listen: listen tcp "+c.listenAddr+": bind: address already in use")
}

// checkConfigError checks that err has the text want, contains a *ConfigError and has advice.
func checkConfigError(t *testing.T, err error, want string) {
	t.Helper()
	if err == nil || err.Error() != want {
		t.Errorf("got error %v, want %s", err, want)
	}
	if invalid, ok := errors.AsType[*ConfigError](err); !ok || invalid.Advice() == "" {
		t.Errorf("error %v: got no *ConfigError with advice, want one", err)
	}
}
