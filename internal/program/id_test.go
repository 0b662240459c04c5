package program

import (
	"testing"

	"github.com/matryer/is"
)

func TestChildHasTheHomeAndShardOfItsParent(t *testing.T) {
	is := is.New(t)
	for range 50 {
		parent := NewID("fukuoka-a")
		child, err := NewChildID(parent)
		is.NoErr(err)
		grandchild, err := NewChildID(child)
		is.NoErr(err)
		for _, id := range []string{parent, child, grandchild} {
			dc, err := HomeDataCentre(id)
			is.NoErr(err)
			is.Equal(dc, "fukuoka-a")
			is.Equal(ShardOf(id, 7), ShardOf(parent, 7))
		}
		is.True(child != grandchild)
	}
}

func TestInvalidIDsAreRejected(t *testing.T) {
	for _, id := range []string{"", "prg", "prg_giza", "prg_giza_x", "prg__" + NewID("a")[6:], "p_giza_0", NewID("giza") + ".x", NewID("giza") + "_x"} {
		is := is.New(t)
		_, err := HomeDataCentre(id)
		is.True(err != nil) // no id of a program
	}
}
