package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

const (
	// packThreshold is the number of bytes from which records are compressed. Entries and
	// configurations are repetitive, and small hosts have slow links.
	packThreshold = 4 << 10
	// maxUnpacked is the maximum size of decompressed records, in bytes.
	maxUnpacked = 64 << 20
)

// Pack puts records into a response, compressed if they take at least packThreshold bytes.
func Pack(records []*pb.TopicRecord, out *pb.FetchRecordsResponse) error {
	list := &pb.RecordList{Records: records}
	if proto.Size(list) < packThreshold {
		out.Records = records
		return nil
	}
	data, err := proto.Marshal(list)
	if err != nil {
		return errors.Wrap(err, "encode records")
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return errors.Wrap(err, "deflate records")
	}
	if _, err := w.Write(data); err != nil {
		return errors.Wrap(err, "deflate records")
	}
	if err := w.Close(); err != nil {
		return errors.Wrap(err, "deflate records")
	}
	out.Packed = buf.Bytes()
	return nil
}

// Unpack returns the records of a response, which may be compressed.
func Unpack(in *pb.FetchRecordsResponse) ([]*pb.TopicRecord, error) {
	if len(in.Packed) == 0 {
		return in.Records, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(in.Packed)), maxUnpacked))
	if err != nil {
		return nil, errors.Wrap(err, "inflate records")
	}
	list := &pb.RecordList{}
	if err := proto.Unmarshal(data, list); err != nil {
		return nil, errors.Wrap(err, "decode records")
	}
	return list.Records, nil
}
