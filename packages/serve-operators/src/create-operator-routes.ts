import type { OperatorResponse } from './operator-response.js';
import type { OperatorCall } from './operator-call.js';
import type { OperatorHandlers } from './operator-handlers.js';

/** An operator endpoint. */
interface OperatorRoute {
  /** Number of path segments after the endpoint name; another number is answered with 404. */
  readonly argCount: number;
  /** True if no authentication is required: the load balancer has no token and calls from another host. */
  readonly isOpen: boolean;
  readonly handleCall: (call: OperatorCall) => OperatorResponse | Promise<OperatorResponse>;
}

const buildHealthResponse = (isPassing: boolean, field: string): OperatorResponse => ({
  status: isPassing ? 200 : 503,
  body: { [field]: isPassing },
});
const buildErrorResponse = (status: number, message: string): OperatorResponse => ({
  status,
  body: { error: { message } },
});

/** Creates the operator endpoints, keyed by HTTP method and first path segment, such as `GET status`. */
export function createOperatorRoutes(handlers: OperatorHandlers): Readonly<Record<string, OperatorRoute>> {
  return {
    'GET healthz': {
      argCount: 0,
      isOpen: true,
      handleCall: () => buildHealthResponse(handlers.isHealthy(), 'healthy'),
    },
    'GET readyz': {
      argCount: 0,
      isOpen: true,
      handleCall: () => buildHealthResponse(handlers.isReady(), 'ready'),
    },
    'GET metrics': {
      argCount: 0,
      isOpen: false,
      handleCall: async () => ({ status: 200, body: await handlers.readMetrics() }),
    },
    'GET status': {
      argCount: 0,
      isOpen: false,
      handleCall: async () => ({ status: 200, body: await handlers.readStatus() }),
    },
    'GET explain': {
      argCount: 1,
      isOpen: false,
      handleCall: async ({ args }) => {
        const traces = await handlers.explainRequest(args[0] ?? '');
        return traces.length > 0
          ? { status: 200, body: traces }
          : buildErrorResponse(404, 'no node knows this request');
      },
    },
    'GET outcome': {
      argCount: 2,
      isOpen: false,
      handleCall: async ({ args, query }) => {
        const account = query.get('account');
        if (account === null) return buildErrorResponse(400, 'name the client account: ?account=NAME');
        const outcome = await handlers.readOutcome(account, args[0] ?? '', args[1] ?? '');
        return outcome === undefined
          ? buildErrorResponse(404, 'this account never sent the key to this service')
          : { status: 200, body: outcome };
      },
    },
    'POST drain': {
      argCount: 0,
      isOpen: false,
      handleCall: () => {
        handlers.drainNode();
        return { status: 202, body: { draining: true } };
      },
    },
  };
}
