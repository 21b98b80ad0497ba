package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"

	"github.com/quic-go/quic-go"
)

const (
	snapshotProtocol = "bronzewind-snapshot/1"
	maxSnapshotBytes = 64 << 20
)

// errSnapshotTooLarge means that a peer sent more than a state can take.
var errSnapshotTooLarge = fmt.Errorf("the snapshot is over %d bytes", maxSnapshotBytes)

// ServerOption changes a Server at its construction.
type ServerOption func(*Server)

// WithSnapshot serves the encoded state to any instance that asks: one that
// has just started is no member yet. Without it nobody gets one.
func WithSnapshot(snapshot func(ctx context.Context) ([]byte, error)) ServerOption {
	return func(s *Server) { s.snapshot = snapshot }
}

// Snapshot returns the encoded state of the instance at address. The peer is
// not known to the one that asks, so address has to be trusted.
func Snapshot(ctx context.Context, identity *Identity, address string) ([]byte, error) {
	c := identity.tlsConfig(func([]byte) bool { return true })
	c.NextProtos = []string{snapshotProtocol}
	conn, err := quic.DialAddr(ctx, address, c, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("snapshot from %s: %w", address, err)
	}
	defer func() { _ = conn.CloseWithError(0, "done") }()
	data, err := readSnapshot(ctx, conn)
	if err != nil {
		return nil, fmt.Errorf("snapshot from %s: %w", address, err)
	}
	return data, nil
}

func readSnapshot(ctx context.Context, conn *quic.Conn) ([]byte, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { abort(stream) })
	defer stop()
	if err := stream.Close(); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(stream, maxSnapshotBytes+1))
	if len(data) > maxSnapshotBytes {
		return nil, errSnapshotTooLarge
	}
	return data, err
}

// serveSnapshot writes the state to stream and ends it; a stream that is cut
// off breaks.
func (s *Server) serveSnapshot(ctx context.Context, stream *quic.Stream) {
	data, err := s.snapshot(ctx)
	if err == nil {
		_, err = stream.Write(data)
	}
	if err != nil {
		s.log.Debug("snapshot not sent", "error", err)
		abort(stream)
		return
	}
	_ = stream.Close()
}

// verify takes members, and any peer that asks for a snapshot only.
func (s *Server) verify(c tls.ConnectionState) error {
	if c.NegotiatedProtocol == snapshotProtocol {
		return nil
	}
	if len(c.PeerCertificates) == 0 || !s.trusted(fingerprint(c.PeerCertificates[0].Raw)) {
		return errors.New("peer's certificate is not in the log")
	}
	return nil
}

func (s *Server) tlsConfig() *tls.Config {
	c := s.identity.tlsConfig(s.trusted)
	if s.snapshot != nil {
		c.NextProtos = append(c.NextProtos, snapshotProtocol)
		c.VerifyPeerCertificate, c.VerifyConnection = nil, s.verify
	}
	return c
}
