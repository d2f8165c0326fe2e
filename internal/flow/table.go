package flow

import "iter"

// Table is a hash table of flow records with linear probing in a single array.
//
// Go's map was rejected: with 300,000 flows it took 848 ns per packet, mostly for
// cache misses in two lookups, one to read and one to write. In a Table, finding a
// record touches one or two cache lines, and the record is modified in place.
// Deletion moves later entries back instead of marking entries as deleted, as marks
// would accumulate in a table that is used for months. The zero value is an empty table.
type Table struct {
	entries []entry
	length  int
}

// entry is empty if its ID is zero, which Hash never returns.
type entry struct {
	id     ID
	record Record
}

const (
	initialEntries = 8
	// A table grows when three quarters of its entries would be in use.
	maxLoadDenominator = 4
	maxLoadNumerator   = 3
	growFactor         = 2
)

// Len returns the number of records.
func (t *Table) Len() int {
	return t.length
}

// find returns the index of the entry with the ID, or of the empty entry in which to put it.
func (t *Table) find(id ID) int {
	mask := len(t.entries) - 1
	index := int(id) & mask
	for t.entries[index].id != id && t.entries[index].id != 0 {
		index = (index + 1) & mask
	}
	return index
}

// At returns a flow's record, which may be modified in place, or nil if there is none. The
// pointer is valid until the next Put or Delete.
func (t *Table) At(id ID) *Record {
	if t.length == 0 {
		return nil
	}
	found := &t.entries[t.find(id)]
	if found.id != id {
		return nil
	}
	return &found.record
}

// Get returns a copy of a flow's record and whether there is one.
func (t *Table) Get(id ID) (Record, bool) {
	found := t.At(id)
	if found == nil {
		return Record{}, false
	}
	return *found, true
}

// Put stores a flow's record, replacing an existing one.
func (t *Table) Put(id ID, record Record) {
	if len(t.entries) == 0 || (t.length+1)*maxLoadDenominator > len(t.entries)*maxLoadNumerator {
		t.grow()
	}
	found := &t.entries[t.find(id)]
	if found.id == 0 {
		t.length++
	}
	found.id = id
	found.record = record
}

// grow allocates a larger array and moves all entries to it.
func (t *Table) grow() {
	old := t.entries
	t.entries = make([]entry, max(initialEntries, growFactor*len(old)))
	for index := range old {
		if old[index].id != 0 {
			t.entries[t.find(old[index].id)] = old[index]
		}
	}
}

// Delete removes a flow's record, if there is one.
func (t *Table) Delete(id ID) {
	if t.length == 0 {
		return
	}
	hole := t.find(id)
	if t.entries[hole].id != id {
		return
	}
	t.length--
	mask := len(t.entries) - 1
	for next := (hole + 1) & mask; t.entries[next].id != 0; next = (next + 1) & mask {
		home := int(t.entries[next].id) & mask
		// The entry may be moved to the hole unless its home index lies cyclically after
		// the hole and not after next. For example, in a table of 8 it may be moved if
		// home is 6, hole is 7 and next is 0.
		if (next-home)&mask >= (next-hole)&mask {
			t.entries[hole] = t.entries[next]
			hole = next
		}
	}
	t.entries[hole] = entry{}
}

// All iterates over all flows with copies of their records. During the iteration existing
// records may be replaced, but none may be added or deleted.
func (t *Table) All() iter.Seq2[ID, Record] {
	return func(yield func(ID, Record) bool) {
		for index := range t.entries {
			if t.entries[index].id != 0 && !yield(t.entries[index].id, t.entries[index].record) {
				return
			}
		}
	}
}

// DeleteFunc deletes the records for which condition returns true, and calls removed for
// each of them after its deletion.
func (t *Table) DeleteFunc(condition func(ID, Record) bool, removed func(ID, Record)) {
	var matched []entry
	for index := range t.entries {
		if t.entries[index].id != 0 && condition(t.entries[index].id, t.entries[index].record) {
			matched = append(matched, t.entries[index])
		}
	}
	for _, match := range matched {
		t.Delete(match.id)
		removed(match.id, match.record)
	}
}
