package main

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// runAsk sends one request as the application does, or a health check, and prints what was sent and
// answered in one line. With -body-of it also prints whether a 200 answer was made by a server for a request
// with this body.
func runAsk(args []string) error {
	flags := flag.NewFlagSet("ask", flag.ContinueOnError)
	class := flags.String("class", "status-check", "the class; _health: a health check")
	id := flags.String("id", "", "Req-Id")
	key := flags.String("key", "", "Idempotency-Key")
	field := flags.String("field", "Record-State", "a field of the answer to print")
	bodyFile := flags.String("body", "", "file of the body; empty: a GET")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return errors.New("want one address")
	}
	method := http.MethodGet
	var body []byte
	var reader io.Reader
	if *bodyFile != "" {
		var err error
		if body, err = os.ReadFile(*bodyFile); err != nil {
			return err
		}
		method, reader = http.MethodPost, bytes.NewReader(body)
	}
	request, err := http.NewRequest(method, "http://"+flags.Arg(0)+"/"+*class, reader)
	if err != nil {
		return err
	}
	if *class != "_health" {
		request.Header.Set("Req-Id", *id)
		request.Header.Set("Req-Kind", *class)
		request.Header.Set("Req-Deadline-Ms", "2400")
	}
	if *key != "" {
		request.Header.Set("Idempotency-Key", *key)
	}
	client := &http.Client{Timeout: 5 * time.Second}
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		fmt.Printf("%s id=%s key=%s bytes=%d: no answer: %v\n", began.Format("15:04:05.000"), *id, *key, len(body), err)
		return nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	verdict := ""
	if response.StatusCode == http.StatusOK && err == nil && *class != "_health" {
		verdict = " OWN-ANSWER"
		if !strings.HasSuffix(string(answer), fmt.Sprintf(" body %x", sha256.Sum256(body))) {
			verdict = " FOREIGN-ANSWER"
		}
	}
	fmt.Printf("%s id=%s key=%s bytes=%d sha256=%x: %s %s=%q answer=%q after %v%s\n", began.Format("15:04:05.000"), *id, *key, len(body),
		sha256.Sum256(body), response.Status, *field, response.Header.Get(*field), answer, time.Since(began).Round(time.Millisecond), verdict)
	return nil
}
