"""gRPC adapter of the operator service.

Authenticates callers, maps errors to gRPC statuses and serves streams.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any
from typing import NoReturn

from google.protobuf import message as protobuf
from google.protobuf import message_factory
import grpc
import structlog

from jujubewharf import errors
from jujubewharf.operators import call_errors
from jujubewharf.operators import call_limits
from jujubewharf.operators import calls
from jujubewharf.operators import jujubewharf_pb2 as pb
from jujubewharf.operators import messages
from jujubewharf.operators import service as services
from jujubewharf.operators import values

SERVICE = pb.DESCRIPTOR.services_by_name["Operators"]
AUTHORIZATION = "authorization"
BEARER = "bearer "
ERROR_DETAIL = "jujubewharf-error-bin"

_OK = "ok"

_Context = grpc.aio.ServicerContext[Any, Any]


def handler(
    service: services.OperatorService, call_limiter: call_limits.CallLimiter
) -> grpc.GenericRpcHandler:
    """Returns a handler that serves every RPC of the schema.

    Args:
        service: Service that executes the calls.
        call_limiter: Limits and counts the calls of each operator.
    """
    grpc_adapter = _GrpcAdapter(service, call_limiter)
    return grpc.method_handlers_generic_handler(
        SERVICE.full_name,
        {
            method.name: grpc_adapter.handler(method)
            for method in SERVICE.methods
        },
    )


class _GrpcAdapter:
    def __init__(
        self,
        service: services.OperatorService,
        call_limiter: call_limits.CallLimiter,
    ) -> None:
        self._service = service
        self._call_limiter = call_limiter
        self._logger = structlog.get_logger()

    def handler(self, method: Any) -> grpc.RpcMethodHandler[Any, Any]:
        request = message_factory.GetMessageClass(method.input_type)
        make, behavior = grpc.unary_unary_rpc_method_handler, self._unary
        if method.server_streaming:
            make, behavior = grpc.unary_stream_rpc_method_handler, self._stream
        return make(
            behavior(method.name),
            request_deserializer=request.FromString,
            response_serializer=_serialize,
        )

    def _unary(self, name: str) -> Any:
        call = calls.UNARY[name]

        async def answer(
            request: protobuf.Message, context: _Context
        ) -> protobuf.Message:
            try:
                identity = self._identity(context)
                await self._call_limiter.admit(identity, name)
                reply = await self._call_with_audit(
                    name, identity, call, request
                )
            except Exception as error:
                await self._abort(name, error, context)
            self._call_limiter.count(name, _OK)
            return reply

        return answer

    async def _call_with_audit(
        self,
        name: str,
        identity: values.Identity,
        call: calls.UnaryCall,
        request: protobuf.Message,
    ) -> protobuf.Message:
        """Executes a call and logs it if it is a change, even if it fails.

        The configuration history only holds changes that reached the log, so
        this audit line is the only record of attempts without permission.
        """
        outcome = errors.ErrorKind.INTERNAL.value
        operation = getattr(request, "operation_id", "")
        try:
            reply = await call(self._service, identity, request)
            outcome = _OK
            operation = getattr(reply, "operation_id", operation)
            return reply
        except errors.WharfError as error:
            outcome = error.kind.value
            operation = getattr(error, "operation_id", operation)
            raise
        finally:
            is_dry = getattr(request, "dry_run", False)
            if name in call_limits.CHANGE_CALLS and not is_dry:
                self._logger.info(
                    "operator_change",
                    call=name,
                    actor=identity.name,
                    operation=operation,
                    outcome=outcome,
                )

    def _stream(self, name: str) -> Any:
        call = calls.STREAM[name]

        async def answer(
            request: protobuf.Message, context: _Context
        ) -> AsyncIterator[protobuf.Message]:
            try:
                identity = self._identity(context)
                await self._call_limiter.admit(identity, name)
                with self._call_limiter.watch_slot():
                    async for part in call(self._service, identity, request):
                        self._check_identity_unchanged(identity, context)
                        yield part
            except Exception as error:
                await self._abort(name, error, context)

        return answer

    def _identity(self, context: _Context) -> values.Identity:
        for key, value in context.invocation_metadata() or ():
            if key == AUTHORIZATION and isinstance(value, str):
                is_bearer = value.lower().startswith(BEARER)
                token = value[len(BEARER) :].strip() if is_bearer else ""
                return self._service.identify(token)
        return self._service.identify("")

    def _check_identity_unchanged(
        self, identity: values.Identity, context: _Context
    ) -> None:
        # The role or scope of the operator may change while the stream is
        # open. The stream must not send what the operator may no longer see.
        if self._identity(context) != identity:
            detail = "the identity was changed; watch anew"
            raise errors.WharfError(errors.ErrorKind.FORBIDDEN, detail)

    async def _abort(
        self, name: str, error: Exception, context: _Context
    ) -> NoReturn:
        if not isinstance(error, errors.WharfError):
            self._logger.error(
                "operator_call_crashed", call=name, exc_info=error
            )
            error = errors.WharfError(errors.ErrorKind.INTERNAL)
        self._call_limiter.count(name, error.kind.value)
        detail = call_errors.to_detail(error)
        trailer = messages.to_message(detail, pb.ErrorDetail)
        await context.abort(
            grpc.StatusCode[error.response.grpc_code],
            f"{detail.kind}: {detail.message} {detail.detail}".strip(),
            ((ERROR_DETAIL, trailer.SerializeToString()),),
        )


def _serialize(message: protobuf.Message) -> bytes:
    return message.SerializeToString()
