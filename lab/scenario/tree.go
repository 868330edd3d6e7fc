package scenario

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// tree is a scenario as untyped values, addressed by key.
type tree map[string]any

func decodeTree(raw []byte) (tree, error) {
	t := tree{}
	if err := toml.Unmarshal(raw, &t); err != nil {
		return nil, &KeyError{Cause: err}
	}
	return t, nil
}

func (t tree) bytes() ([]byte, error) { return toml.Marshal(map[string]any(t)) }

// set replaces the value at a path, whose steps may have an index, by a value of the same type.
func (t tree) set(path []string, value string) error {
	name, at, indexed, err := parsePathStep(path[0])
	if err != nil {
		return err
	}
	old, known := t[name]
	if !known {
		return keyErrorf(path[0], "no such key")
	}
	if indexed {
		list, ok := old.([]any)
		if !ok || at >= len(list) {
			return keyErrorf(path[0], "no such key")
		}
		if len(path) > 1 {
			inner, ok := list[at].(map[string]any)
			if !ok {
				return keyErrorf(path[0], "no such key")
			}
			return tree(inner).set(path[1:], value)
		}
		list[at], err = parseLike(path[0], list[at], value)
		return err
	}
	if len(path) > 1 {
		inner, ok := old.(map[string]any)
		if !ok {
			return keyErrorf(path[0], "no such key")
		}
		return tree(inner).set(path[1:], value)
	}
	t[name], err = parseLike(path[0], old, value)
	return err
}

// parsePathStep splits a step such as fault[0] into name and index.
func parsePathStep(s string) (name string, at int, indexed bool, err error) {
	name, rest, indexed := strings.Cut(s, "[")
	if !indexed {
		return name, 0, false, nil
	}
	at, err = strconv.Atoi(strings.TrimSuffix(rest, "]"))
	if err != nil || at < 0 || !strings.HasSuffix(rest, "]") {
		return "", 0, false, keyErrorf(s, "%q is not an index", "["+rest)
	}
	return name, at, true, nil
}

// parseLike parses a value as the type of the old one.
func parseLike(key string, old any, value string) (any, error) {
	switch old.(type) {
	case bool:
		return strconv.ParseBool(value)
	case string:
		return value, nil
	case int64:
		return strconv.ParseInt(value, 10, 64)
	case float64:
		return strconv.ParseFloat(value, 64)
	case []any:
		var span []any
		for _, part := range strings.Split(value, ":") {
			v, err := strconv.ParseFloat(part, 64)
			if err != nil {
				return nil, keyErrorf(key, "%q is not a span such as 0.5:2", value)
			}
			span = append(span, v)
		}
		return span, nil
	}
	return nil, keyErrorf(key, "not a single value or a span")
}
