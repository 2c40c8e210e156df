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

// Kinds of statements that the session handles itself. The kind of another statement is its first word
// in lower case.
const (
	begin    = "begin"
	commit   = "commit"
	rollback = "rollback"
)

// voidOID is the OID of PostgreSQL's type void.
const voidOID = 2278

// column is a column of a result.
type column struct {
	name string
	oid  uint32 // of its type
}

// query is a statement as the client sent it and as SQLite runs it.
type query struct {
	text    string
	sqlite  string
	kind    string
	writes  bool     // the statement is rejected while the server is read-only
	params  []uint32 // OIDs of the parameters' types
	columns []column // of the result; empty: the statement returns no rows
}

// description returns the description of the result's columns, for the given format codes.
func (q *query) description(formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for n, c := range q.columns {
		size := map[uint32]int16{pgtype.Int8OID: 8, pgtype.BoolOID: 1, pgtype.Float8OID: 8, voidOID: 4}[c.oid]
		if size == 0 {
			size = -1
		}
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: formatOf(formats, n)})
	}
	return d
}

// typeOIDs contains the OIDs of the types that the stand-in supports, by their names.
var typeOIDs = map[string]uint32{"text": pgtype.TextOID, "bigint": pgtype.Int8OID, "int8": pgtype.Int8OID, "bytea": pgtype.ByteaOID,
	"boolean": pgtype.BoolOID, "bool": pgtype.BoolOID, "float8": pgtype.Float8OID}

// parse translates a statement for SQLite, and determines the types of its parameters and result
// columns. paramTypes are the OIDs that the client states, which apply to parameters without a cast;
// 0 is an unknown type.
func (s *Server) parse(text string, paramTypes []uint32) (*query, error) {
	tokens, err := tokenize(text)
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
		if q.params[n] == 0 && n < len(paramTypes) {
			q.params[n] = paramTypes[n]
		}
		if q.params[n] == 0 {
			return nil, &failure{"42P18", fmt.Sprintf("could not determine data type of parameter $%d", n+1)}
		}
	}
	q.columns, err = s.resultColumns(tokens)
	return q, err
}

// vacuum is the kind of a VACUUM statement, which SQLite runs on the complete database: a table name or
// options are ignored.
const vacuum = "vacuum"

// kindOf returns the kind of a statement from its first word, or an error if the stand-in does not
// support it.
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

// translate returns a statement in SQLite's syntax, and sets the types of those parameters of q that
// have a cast ($1::type).
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
				oid := typeOIDs[strings.ToLower(tokens[i+2].text)]
				if oid == 0 {
					return "", &failure{"42704", fmt.Sprintf("type %q does not exist in the stand-in", tokens[i+2].text)}
				}
				q.params[n-1] = oid
				i += 2
			}
			fmt.Fprintf(&b, "?%d", n)
		case t.is("bytea") && i > 0 && tokens[i-1].is("as"):
			b.WriteString("blob") // in a CAST, SQLite takes an unknown type name for a numeric type
		case t.is("for") && i+1 < len(tokens) && tokens[i+1].is("update"):
			i++ // FOR UPDATE is left out: a transaction locks the complete database
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

// resultColumns returns the columns of a SELECT list or a RETURNING clause, nil if the statement has
// neither.
func (s *Server) resultColumns(tokens []token) (columns []column, err error) {
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
	var tableTypes map[string]uint32
	for _, item := range items {
		if len(item) == 0 {
			return nil, &failure{"42601", "syntax error in the list of results"}
		}
		first, last := item[0], item[len(item)-1]
		c := column{name: "?column?"}
		switch {
		case first.is("cast") && last.text == ")" && len(item) >= 5:
			c.oid = typeOIDs[strings.ToLower(item[len(item)-2].text)]
			c.name = "cast"
		case first.text[0] == '\'':
			c.oid = pgtype.TextOID
		case first.is("current_setting"):
			c.name, c.oid = "current_setting", pgtype.TextOID
		case first.is("pg_advisory_xact_lock"):
			c.name, c.oid = "pg_advisory_xact_lock", voidOID
		case len(item) == 1:
			if tableTypes == nil {
				if tableTypes, err = s.columnTypes(table); err != nil {
					return nil, err
				}
			}
			c.name = strings.ToLower(first.text)
			c.oid = tableTypes[c.name]
			if c.oid == 0 {
				return nil, &failure{"42703", fmt.Sprintf("column %q does not exist", c.name)}
			}
		}
		if c.oid == 0 {
			return nil, &failure{"0A000", fmt.Sprintf("the stand-in can't tell the type of a result that begins with %q: CAST it", first.text)}
		}
		columns = append(columns, c)
	}
	return columns, nil
}

// resultItems splits the list of results that begins at the token with index from into its items.
func resultItems(tokens []token, from int) (items [][]token) {
	depth, itemStart := 0, from
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
			items = append(items, tokens[itemStart:n])
			itemStart = n + 1
		}
		if depth == 0 && t.is("from") {
			break
		}
	}
	return append(items, tokens[itemStart:n])
}

// tableName returns the name of a statement's table in lower case, "" if it has none.
func tableName(tokens []token) string {
	for i, t := range tokens {
		if (t.is("from") || t.is("into") || tokens[0].is("update") && i == 0) && i+1 < len(tokens) {
			return strings.ToLower(tokens[i+1].text)
		}
	}
	return ""
}

// columnTypes returns the OIDs of the types of a table's columns, by column name; 0 is a type that the
// stand-in does not support.
func (s *Server) columnTypes(table string) (map[string]uint32, error) {
	rows, err := s.db.Query("SELECT name, lower(type) FROM pragma_table_info(?)", table)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	types := make(map[string]uint32)
	for rows.Next() {
		var name, typeName string
		if err := rows.Scan(&name, &typeName); err != nil {
			return nil, err
		}
		types[strings.ToLower(name)] = typeOIDs[typeName]
	}
	if err := rows.Err(); err != nil {
		return nil, err
	}
	if len(types) == 0 {
		return nil, &failure{"42P01", fmt.Sprintf("relation %q does not exist", table)}
	}
	return types, nil
}

// registerFunctions registers with SQLite, once, the PostgreSQL functions that this repository uses. The
// first argument of clock_timestamp and current_setting is the server's id, which translate adds.
var registerFunctions = sync.OnceValue(func() error {
	serverOf := func(args []driver.Value) (*Server, error) {
		id, _ := args[0].(int64)
		s, ok := servers.Load(id)
		if !ok {
			return nil, fmt.Errorf("no server %v", args[0])
		}
		return s.(*Server), nil
	}
	type scalar = func(*sqlite.FunctionContext, []driver.Value) (driver.Value, error)
	for _, f := range []struct {
		name     string
		argCount int32
		call     scalar
	}{
		{"clock_timestamp", 1, func(_ *sqlite.FunctionContext, args []driver.Value) (driver.Value, error) {
			s, err := serverOf(args)
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
			return "", nil // BEGIN IMMEDIATE has locked the database already
		}},
		{"current_setting", 2, func(_ *sqlite.FunctionContext, args []driver.Value) (driver.Value, error) {
			s, err := serverOf(args)
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
		if err := sqlite.RegisterScalarFunction(f.name, f.argCount, f.call); err != nil {
			return err
		}
	}
	return nil
})
