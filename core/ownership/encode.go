package ownership

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

type (
	// encodedBook is a book as it is stored. Lives are written once and named by
	// their place.
	encodedBook struct {
		_       struct{} `cbor:",toarray"`
		Service string
		Version uint64
		Epoch   uint64
		Fence   uint64
		Lives   []Life
		Rows    []encodedRow
		Written int64
		Quiet   int64
	}

	encodedRow struct {
		_       struct{} `cbor:",toarray"`
		From    uint32
		To      uint32
		Owner   int // place in Lives
		Fence   uint64
		Moving  bool
		Waits   int64
		Earlier []encodedHold
	}

	encodedHold struct {
		_     struct{} `cbor:",toarray"`
		Life  int      // place in Lives
		Fence uint64
	}
)

// Encode returns b as it is stored.
func (b *Book) Encode() ([]byte, error) {
	out := encodedBook{Service: b.Service, Version: b.Version, Epoch: b.Epoch, Fence: b.Fence, Written: b.Written, Quiet: b.Quiet}
	places := map[Life]int{}
	place := func(l Life) int {
		n, ok := places[l]
		if !ok {
			n = len(out.Lives)
			places[l] = n
			out.Lives = append(out.Lives, l)
		}
		return n
	}
	for _, r := range b.Rows {
		row := encodedRow{From: r.From, To: r.To, Owner: place(r.Owner), Fence: r.Fence, Moving: r.Moving, Waits: r.Waits}
		for _, h := range r.Earlier {
			row.Earlier = append(row.Earlier, encodedHold{Life: place(h.Life), Fence: h.Fence})
		}
		out.Rows = append(out.Rows, row)
	}
	return cbor.Marshal(out)
}

// DecodeBook reads a book. An error means that the data is no whole book.
func DecodeBook(data []byte) (Book, error) {
	var in encodedBook
	if err := cbor.Unmarshal(data, &in); err != nil {
		return Book{}, fmt.Errorf("book: %w", err)
	}
	out := Book{Service: in.Service, Version: in.Version, Epoch: in.Epoch, Fence: in.Fence, Written: in.Written, Quiet: in.Quiet}
	last := -1
	for _, r := range in.Rows {
		if r.From > r.To || r.To >= KeyCount || int(r.From) <= last {
			return Book{}, fmt.Errorf("book of %s: keys %d to %d are out of range or order", in.Service, r.From, r.To)
		}
		last = int(r.To)
		row := Row{Range: Range{From: r.From, To: r.To}, Fence: r.Fence, Moving: r.Moving, Waits: r.Waits}
		var ok bool
		if row.Owner, ok = in.life(r.Owner); !ok {
			return Book{}, fmt.Errorf("book of %s: row %d names no owner", in.Service, r.From)
		}
		for _, h := range r.Earlier {
			life, ok := in.life(h.Life)
			if !ok {
				return Book{}, fmt.Errorf("book of %s: row %d names no earlier holder", in.Service, r.From)
			}
			row.Earlier = append(row.Earlier, Hold{Life: life, Fence: h.Fence})
		}
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}

func (b *encodedBook) life(place int) (Life, bool) {
	if place < 0 || place >= len(b.Lives) {
		return Life{}, false
	}
	return b.Lives[place], true
}
