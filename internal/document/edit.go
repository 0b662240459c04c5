package document

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/tomlfile"
)

// AddKey returns the text of a document with a key added to an account. Comments and layout stay as they are.
func AddKey(src []byte, account string, k Key) ([]byte, error) {
	before, err := Parse(src)
	if err != nil {
		return nil, err
	}
	if _, ok := before.Account(account); !ok {
		return nil, errors.Newf("there is no account %q", account)
	}
	lines := strings.SplitAfter(string(src), "\n")
	out, err := insertKey(lines, tomlfile.NewIndex(src), account, k)
	if err != nil {
		return nil, err
	}
	text := []byte(strings.Join(out, ""))
	after, err := Parse(text)
	if err != nil {
		return nil, errors.Wrap(err, "the account's keys are laid out in a way that cannot be edited automatically")
	}
	if a, _ := after.Account(account); !slices.Contains(a.Keys, k) || len(Diff(before, after)) != keyFields {
		return nil, errors.New("the account's keys are laid out in a way that cannot be edited automatically")
	}
	return text, nil
}

// keyFields is the number of values that one key adds to a document.
const keyFields = 3

func insertKey(lines []string, x *tomlfile.Index, account string, k Key) ([]string, error) {
	name := fmt.Sprintf("%q", account)
	for i := 0; i < x.Count("account"); i++ {
		at := fmt.Sprintf("account[%d]", i)
		line, ok := x.Line(at + ".name")
		if !ok || !strings.Contains(lines[line-1], name) {
			continue
		}
		inline := fmt.Sprintf("{ id = %q, salt = %q, hash = %q }", k.ID, k.Salt, k.Hash)
		if l, ok := x.Line(at + ".keys"); ok {
			head, tail, _ := strings.Cut(lines[l-1], "[")
			return slices.Replace(slices.Clone(lines), l-1, l, head+"[\n  "+inline+","+tail), nil
		}
		if l, ok := x.Line(at + ".keys[0]"); ok {
			table := fmt.Sprintf("[[account.keys]]\nid = %q\nsalt = %q\nhash = %q\n\n", k.ID, k.Salt, k.Hash)
			return slices.Insert(slices.Clone(lines), l-1, table), nil
		}
		return slices.Insert(slices.Clone(lines), line, "keys = [\n  "+inline+",\n]\n"), nil
	}
	return nil, errors.Newf("account %q was not found as an [[account]] table", account)
}
