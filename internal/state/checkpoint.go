package state

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// chunkBytes is the size of a checkpoint chunk on the log.
const chunkBytes = 128 << 10

const maxChunks = 4096

// Checkpoint returns the encoded records that hold s, in the order in which
// they are to be appended.
func Checkpoint(s *State) ([][]byte, error) { return checkpoint(s, chunkBytes) }

func checkpoint(s *State, chunkBytes int) ([][]byte, error) {
	data, err := marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode checkpoint")
	}
	sum := xxh3.Hash128(data).Bytes()
	total := (len(data) + chunkBytes - 1) / chunkBytes
	total = max(total, 1)
	var records [][]byte
	for i := range total {
		chunk := &pb.CheckpointChunk{
			StateOffset: s.Next,
			Index:       uint32(i),
			Count:       uint32(total),
			Hash:        sum[:],
			Data:        data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)],
		}
		rec, err := proto.Marshal(&pb.ConfigRecord{Kind: &pb.ConfigRecord_Checkpoint{Checkpoint: chunk}})
		if err != nil {
			return nil, errors.Wrap(err, "encode checkpoint chunk")
		}
		records = append(records, rec)
	}
	return records, nil
}

// assembler puts checkpoints together from chunks seen in log order. Writers
// may interleave: parts are kept apart by state offset and hash.
type assembler struct {
	parts map[partKey][][]byte
}

type partKey struct {
	offset uint64
	count  uint32
	hash   string
}

func newAssembler() *assembler { return &assembler{parts: map[partKey][][]byte{}} }

// add takes a chunk and returns the state once all chunks of it were seen and
// the hash fits.
func (a *assembler) add(c *pb.CheckpointChunk) *State {
	if c.Count == 0 || c.Count > maxChunks || c.Index >= c.Count {
		return nil
	}
	key := partKey{c.StateOffset, c.Count, string(c.Hash)}
	if a.parts[key] == nil {
		a.parts[key] = make([][]byte, c.Count)
	}
	a.parts[key][c.Index] = c.Data
	for _, part := range a.parts[key] {
		if part == nil {
			return nil
		}
	}
	data := bytes.Join(a.parts[key], nil)
	delete(a.parts, key)
	sum := xxh3.Hash128(data).Bytes()
	wire := &pb.ConfigState{}
	if string(sum[:]) != key.hash || proto.Unmarshal(data, wire) != nil || wire.NextOffset != c.StateOffset {
		return nil
	}
	return Decode(wire)
}
