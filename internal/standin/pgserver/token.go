package pgserver

import (
	"strings"
)

// token is a token of SQL: a word, a number, a quoted text, a parameter or an operator.
type token struct {
	text  string
	space bool // there is white space before the token
}

// is reports whether the token is the given word, in upper or lower case.
func (t token) is(word string) bool { return strings.EqualFold(t.text, word) }

// tokenize splits SQL into tokens. It returns an error for a quoted text without an end.
func tokenize(text string) (tokens []token, err error) {
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
		tokens = append(tokens, token{text[i:j], space})
		space = false
		i = j
	}
	return tokens, nil
}

// isIdentifier reports whether an identifier can contain the byte.
func isIdentifier(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// splitStatements splits the text of a simple query into statements at its semicolons. Text that can't
// be split into tokens is returned whole.
func splitStatements(text string) (parts []string) {
	tokens, err := tokenize(text)
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
