// Package runner contains the client and the gRPC service of model engines.
package runner

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/cowslipproxy/cowslipproxy"
)

const serviceName = "cowslip.Engine"

// Command is a message on the stream from a daemon to an engine. Exactly one of its
// fields is set.
type Command struct {
	Step   *cowslipproxy.Step `json:"step,omitempty"`
	Cancel string             `json:"cancel,omitempty"` // id of the request whose contexts the engine frees
}

// Check returns an error unless the command is either a valid step or a cancellation.
func (c Command) Check() error {
	if (c.Step == nil) == (c.Cancel == "") {
		return errors.New("command: exactly one of a step and a cancellation is required")
	}
	if c.Step != nil {
		return errors.Wrap(c.Step.Check(), "step")
	}
	return nil
}

// Empty is a message without content.
type Empty struct{}

// Server is the server side of the engine protocol.
type Server interface {
	Run(stream grpc.BidiStreamingServer[Command, cowslipproxy.Reply]) error
	Report(stream grpc.ServerStreamingServer[cowslipproxy.Report]) error
	Events(stream grpc.ServerStreamingServer[cowslipproxy.CacheEvent]) error
	Export(ctx context.Context, id *cowslipproxy.StepID) (*cowslipproxy.Cache, error)
	Import(ctx context.Context, cache *cowslipproxy.Cache) (*Empty, error)
	Order(ctx context.Context, order *cowslipproxy.Order) (*Empty, error)
}

// Register registers an engine with a gRPC server.
func Register(registrar grpc.ServiceRegistrar, server Server) {
	registrar.RegisterService(&serviceDesc, server)
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Server)(nil),
	Methods: []grpc.MethodDesc{
		unary("Export", Server.Export),
		unary("Import", Server.Import),
		unary("Order", Server.Order),
	},
	Streams: []grpc.StreamDesc{
		{StreamName: "Run", Handler: handleRun, ServerStreams: true, ClientStreams: true},
		{StreamName: "Report", Handler: handleReport, ServerStreams: true},
		{StreamName: "Events", Handler: handleEvents, ServerStreams: true},
	},
}

func unary[In, Out any](name string, method func(Server, context.Context, *In) (*Out, error)) grpc.MethodDesc {
	handler := func(server any, ctx context.Context, decode func(any) error, intercept grpc.UnaryServerInterceptor) (any, error) {
		in := new(In)
		if err := decode(in); err != nil {
			return nil, err
		}
		call := func(ctx context.Context, in any) (any, error) {
			return method(server.(Server), ctx, in.(*In))
		}
		if intercept == nil {
			return call(ctx, in)
		}
		info := &grpc.UnaryServerInfo{Server: server, FullMethod: "/" + serviceName + "/" + name}
		return intercept(ctx, in, info, call)
	}
	return grpc.MethodDesc{MethodName: name, Handler: handler}
}

func handleRun(server any, stream grpc.ServerStream) error {
	return server.(Server).Run(&grpc.GenericServerStream[Command, cowslipproxy.Reply]{ServerStream: stream})
}

func handleReport(server any, stream grpc.ServerStream) error {
	if err := stream.RecvMsg(new(Empty)); err != nil {
		return err
	}
	return server.(Server).Report(&grpc.GenericServerStream[Empty, cowslipproxy.Report]{ServerStream: stream})
}

func handleEvents(server any, stream grpc.ServerStream) error {
	if err := stream.RecvMsg(new(Empty)); err != nil {
		return err
	}
	return server.(Server).Events(&grpc.GenericServerStream[Empty, cowslipproxy.CacheEvent]{ServerStream: stream})
}
