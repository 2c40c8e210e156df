package pgserver

import (
	"database/sql/driver"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"modernc.org/sqlite"
)

// Kinds of statements that the session itself heeds. Others go by their first word.
const (
	begin    = "begin"
	commit   = "commit"
	rollback = "rollback"
)

const voidOID = 2278

// column is one of a result.
type column struct {
	name string
	oid  uint32
}

// query is a statement as PostgreSQL would have it and as SQLite has it.
type query struct {
	text    string
	sqlite  string
	kind    string
	writes  bool
	params  []uint32 // their types
	columns []column // of the result; none: there is none
}

func (q *query) description(formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for n, c := range q.columns {
		size := map[uint32]int16{pgtype.Int8OID: 8, pgtype.BoolOID: 1, pgtype.Float8OID: 8, voidOID: 4}[c.oid]
		if size == 0 {
			size = -1
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: format(formats, n)})
	}
	return d
}

// oids of the type names that are used.
var oids = map[string]uint32{"text": pgtype.TextOID, "bigint": pgtype.Int8OID, "int8": pgtype.Int8OID, "bytea": pgtype.ByteaOID,
	"boolean": pgtype.BoolOID, "bool": pgtype.BoolOID, "float8": pgtype.Float8OID}

// token is a piece of SQL: a word, a number, a quoted text, a parameter or one sign.
type token struct {
	text  string
	space bool // before it
}

func (t token) is(word string) bool { return strings.EqualFold(t.text, word) }

func scan(text string) (out []token, err error) {
	space := false
	for i := 0; i < len(text); {
		c := text[i]
		j := i + 1
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			space = true
			i = j
			continue
		case c == '\'' || c == '"':
			for ; ; j++ {
				if j >= len(text) {
					return nil, &failure{"42601", "unterminated quoted string"}
				}
				if text[j] == c {
					if j+1 < len(text) && text[j+1] == c {
						j++
						continue
					}
					j++
					break
				}
			}
		case isIdentifier(c) || c == '$':
			for j < len(text) && isIdentifier(text[j]) {
				j++
			}
		case c == ':' && strings.HasPrefix(text[i:], "::"):
			j++
		case strings.HasPrefix(text[i:], "<>"), strings.HasPrefix(text[i:], "<="), strings.HasPrefix(text[i:], ">="), strings.HasPrefix(text[i:], "||"):
			j++
		}
		out = append(out, token{text[i:j], space})
		space = false
		i = j
	}
	return out, nil
}

func isIdentifier(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// split parts a simple query at its semicolons.
func split(text string) (parts []string) {
	tokens, err := scan(text)
	if err != nil {
		return []string{text}
	}
	var b strings.Builder
	flush := func() {
		if s := strings.TrimSpace(b.String()); s != "" {
			parts = append(parts, s)
		}
		b.Reset()
	}
	for _, t := range tokens {
		if t.text == ";" {
			flush()
			continue
		}
		if t.space {
			b.WriteByte(' ')
		}
		b.WriteString(t.text)
	}
	flush()
	return parts
}

// parse makes a statement SQLite's, and finds the types of parameters and results.
func (s *Server) parse(text string, given []uint32) (*query, error) {
	tokens, err := scan(text)
	if err != nil {
		return nil, err
	}
	q := &query{text: text}
	if len(tokens) == 0 {
		return nil, &failure{"42601", "empty statement"}
	}
	if q.kind, err = kindOf(tokens[0]); err != nil {
		return nil, err
	}
	if q.kind == vacuum {
		q.sqlite, q.writes = "VACUUM", true
		return q, nil
	}
	q.writes = q.kind != "select" && q.kind != begin && q.kind != commit && q.kind != rollback
	if q.sqlite, err = s.translate(q, tokens); err != nil {
		return nil, err
	}
	for n := range q.params {
		if q.params[n] == 0 && n < len(given) {
			q.params[n] = given[n]
		}
		if q.params[n] == 0 {
			return nil, &failure{"42P18", fmt.Sprintf("could not determine data type of parameter $%d", n+1)}
		}
	}
	q.columns, err = s.results(tokens)
	return q, err
}

// vacuum is the kind of a VACUUM statement, which SQLite runs as it is.
const vacuum = "vacuum"

// kindOf returns the kind of a statement by its first word.
func kindOf(first token) (kind string, err error) {
	kind = strings.ToLower(first.text)
	switch kind {
	case "start":
		return begin, nil
	case "end":
		return commit, nil
	case "abort":
		return rollback, nil
	case "select", "insert", "update", "delete", "create", "drop", "alter", begin, commit, rollback, vacuum:
		return kind, nil
	}
	return "", &failure{"0A000", fmt.Sprintf("the stand-in does not know %s", strings.ToUpper(kind))}
}

// translate returns a statement as SQLite reads it, and notes the types of its parameters that
// the text states.
func (s *Server) translate(q *query, tokens []token) (sqlite string, err error) {
	var b strings.Builder
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		if t.space && b.Len() > 0 {
			b.WriteByte(' ')
		}
		switch {
		case t.text[0] == '$':
			n, err := strconv.Atoi(t.text[1:])
			if err != nil || n < 1 || n > 100 {
				return "", &failure{"42601", fmt.Sprintf("syntax error at or near %q", t.text)}
			}
			for len(q.params) < n {
				q.params = append(q.params, 0)
			}
			if i+2 < len(tokens) && tokens[i+1].text == "::" {
				oid := oids[strings.ToLower(tokens[i+2].text)]
				if oid == 0 {
					return "", &failure{"42704", fmt.Sprintf("type %q does not exist in the stand-in", tokens[i+2].text)}
				}
				q.params[n-1] = oid
				i += 2
			}
			fmt.Fprintf(&b, "?%d", n)
		case t.is("bytea") && i > 0 && tokens[i-1].is("as"):
			b.WriteString("blob") // CAST: SQLite takes an unknown name for a number's
		case t.is("for") && i+1 < len(tokens) && tokens[i+1].is("update"):
			i++ // a transaction locks the complete file
		case (t.is("clock_timestamp") || t.is("current_setting")) && i+1 < len(tokens) && tokens[i+1].text == "(":
			fmt.Fprintf(&b, "%s(%d", strings.ToLower(t.text), s.id)
			if i++; tokens[i+1].text != ")" {
				b.WriteString(", ")
			}
		default:
			b.WriteString(t.text)
		}
	}
	return b.String(), nil
}

// results returns the columns of a SELECT list or a RETURNING clause.
func (s *Server) results(tokens []token) (out []column, err error) {
	from := -1
	if tokens[0].is("select") {
		from = 1
	} else {
		for n, t := range tokens {
			if t.is("returning") {
				from = n + 1
			}
		}
	}
	if from < 0 {
		return nil, nil
	}
	items, table := resultItems(tokens, from), tableName(tokens)
	var known map[string]uint32
	for _, it := range items {
		if len(it) == 0 {
			return nil, &failure{"42601", "syntax error in the list of results"}
		}
		first, last := it[0], it[len(it)-1]
		c := column{name: "?column?"}
		switch {
		case first.is("cast") && last.text == ")" && len(it) >= 5:
			c.oid = oids[strings.ToLower(it[len(it)-2].text)]
			c.name = "cast"
		case first.text[0] == '\'':
			c.oid = pgtype.TextOID
		case first.is("current_setting"):
			c.name, c.oid = "current_setting", pgtype.TextOID
		case first.is("pg_advisory_xact_lock"):
			c.name, c.oid = "pg_advisory_xact_lock", voidOID
		case len(it) == 1:
			if known == nil {
				if known, err = s.catalogue(table); err != nil {
					return nil, err
				}
			}
			c.name = strings.ToLower(first.text)
			c.oid = known[c.name]
			if c.oid == 0 {
				return nil, &failure{"42703", fmt.Sprintf("column %q does not exist", c.name)}
			}
		}
		if c.oid == 0 {
			return nil, &failure{"0A000", fmt.Sprintf("the stand-in can't tell the type of a result that begins with %q: CAST it", first.text)}
		}
		out = append(out, c)
	}
	return out, nil
}

// resultItems divides the list of results that begins at a token into its items.
func resultItems(tokens []token, from int) (items [][]token) {
	depth, item := 0, from
	n := from
	for ; n < len(tokens); n++ {
		t := tokens[n]
		switch {
		case t.text == "(":
			depth++
		case t.text == ")":
			depth--
		}
		if depth == 0 && t.text == "," {
			items = append(items, tokens[item:n])
			item = n + 1
		}
		if depth == 0 && t.is("from") {
			break
		}
	}
	return append(items, tokens[item:n])
}

// tableName returns the name of a statement's table, "" if it has none.
func tableName(tokens []token) string {
	for i, t := range tokens {
		if (t.is("from") || t.is("into") || tokens[0].is("update") && i == 0) && i+1 < len(tokens) {
			return strings.ToLower(tokens[i+1].text)
		}
	}
	return ""
}

// catalogue is a table's columns and their types.
func (s *Server) catalogue(table string) (map[string]uint32, error) {
	rows, err := s.db.Query("SELECT name, lower(type) FROM pragma_table_info(?)", table)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	out := make(map[string]uint32)
	for rows.Next() {
		var name, kind string
		if err := rows.Scan(&name, &kind); err != nil {
			return nil, err
		}
		out[strings.ToLower(name)] = oids[kind]
	}
	if err := rows.Err(); err != nil {
		return nil, err
	}
	if len(out) == 0 {
		return nil, &failure{"42P01", fmt.Sprintf("relation %q does not exist", table)}
	}
	return out, nil
}

// functions gives SQLite those of PostgreSQL that are used. The first argument of two
// of them, which parse puts there, is the server's id.
var functions = sync.OnceValue(func() error {
	server := func(args []driver.Value) (*Server, error) {
		id, _ := args[0].(int64)
		s, ok := servers.Load(id)
		if !ok {
			return nil, fmt.Errorf("no server %v", args[0])
		}
		return s.(*Server), nil
	}
	type scalar = func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error)
	for _, f := range []struct {
		name string
		args int32
		do   scalar
	}{
		{"clock_timestamp", 1, func(_ *sqlite.FunctionContext, args []driver.Value) (driver.Value, error) {
			s, err := server(args)
			if err != nil {
				return nil, err
			}
			return s.now(), nil
		}},
		{"date_part", 2, func(_ *sqlite.FunctionContext, args []driver.Value) (driver.Value, error) {
			if args[0] != "epoch" {
				return nil, fmt.Errorf("the stand-in knows the part epoch alone, not %v", args[0])
			}
			return args[1], nil
		}},
		{"pg_advisory_xact_lock", 1, func(_ *sqlite.FunctionContext, args []driver.Value) (driver.Value, error) {
			return "", nil // BEGIN took the one lock there is
		}},
		{"current_setting", 2, func(_ *sqlite.FunctionContext, args []driver.Value) (driver.Value, error) {
			s, err := server(args)
			if err != nil {
				return nil, err
			}
			if args[1] != "transaction_read_only" {
				return nil, fmt.Errorf("unrecognized configuration parameter %q", args[1])
			}
			if s.isReadOnly() {
				return "on", nil
			}
			return "off", nil
		}},
	} {
		if err := sqlite.RegisterScalarFunction(f.name, f.args, f.do); err != nil {
			return err
		}
	}
	return nil
})
