package state

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"bronzewind.example/core/config"
)

type (
	// slotRun is a run of equal rows.
	slotRun struct {
		_     struct{} `cbor:",toarray"`
		Count int
		Owner int // index into names
		Next  int
		Epoch uint64
		Move  uint64
	}

	slotTable struct {
		_     struct{} `cbor:",toarray"`
		Names []string
		Runs  []slotRun
	}
)

// Encode returns s as bytes; equal states give equal bytes.
func Encode(s *State) ([]byte, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return mode.Marshal(s)
}

// Decode returns the state that Encode wrote.
func Decode(data []byte) (*State, error) {
	s := New()
	if err := cbor.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(s.Document) > 0 {
		c, err := config.Parse(s.Document)
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		s.Configuration = c
	}
	s.Seen.index()
	return s, nil
}

// MarshalCBOR writes rows as runs of equal ones.
func (s Slots) MarshalCBOR() ([]byte, error) {
	index := map[string]int{}
	var t slotTable
	name := func(n string) int {
		i, ok := index[n]
		if !ok {
			i = len(t.Names)
			index[n] = i
			t.Names = append(t.Names, n)
		}
		return i
	}
	for i, row := range s {
		if i > 0 && row == s[i-1] {
			t.Runs[len(t.Runs)-1].Count++
			continue
		}
		t.Runs = append(t.Runs, slotRun{Count: 1, Owner: name(row.Owner), Next: name(row.Next), Epoch: row.Epoch, Move: row.Move})
	}
	return cbor.Marshal(t)
}

// UnmarshalCBOR reads what MarshalCBOR wrote.
func (s *Slots) UnmarshalCBOR(data []byte) error {
	var t slotTable
	if err := cbor.Unmarshal(data, &t); err != nil {
		return err
	}
	*s = nil
	for _, r := range t.Runs {
		if r.Owner < 0 || r.Owner >= len(t.Names) || r.Next < 0 || r.Next >= len(t.Names) || r.Count < 1 || r.Count+len(*s) > config.MaxSlots {
			return fmt.Errorf("slot run %+v is out of range", r)
		}
		row := SlotRow{Owner: t.Names[r.Owner], Next: t.Names[r.Next], Epoch: r.Epoch, Move: r.Move}
		*s = append(*s, slices.Repeat([]SlotRow{row}, r.Count)...)
	}
	return nil
}
