import type { OperatorAnswer } from './operator-answer.js';
import type { OperatorCall } from './operator-call.js';
import type { OperatorHandlers } from './operator-handlers.js';

/** An endpoint with the number of path segments after its name. */
interface OperatorRoute {
  readonly argCount: number;
  /** Open endpoints serve the load balancer, which holds no token and calls from another host. */
  readonly isOpen: boolean;
  readonly handleCall: (call: OperatorCall) => OperatorAnswer | Promise<OperatorAnswer>;
}

const buildState = (good: boolean, word: string): OperatorAnswer => ({
  status: good ? 200 : 503,
  body: { [word]: good },
});
const buildError = (status: number, message: string): OperatorAnswer => ({
  status,
  body: { error: { message } },
});

/** Creates the table of endpoints, by method and name. */
export function createOperatorRoutes(handlers: OperatorHandlers): Readonly<Record<string, OperatorRoute>> {
  return {
    'GET healthz': {
      argCount: 0,
      isOpen: true,
      handleCall: () => buildState(handlers.isHealthy(), 'healthy'),
    },
    'GET readyz': { argCount: 0, isOpen: true, handleCall: () => buildState(handlers.isReady(), 'ready') },
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
          : buildError(404, 'no node knows this request');
      },
    },
    'GET outcome': {
      argCount: 2,
      isOpen: false,
      handleCall: async ({ args, query }) => {
        const account = query.get('account');
        if (account === null) return buildError(400, 'name the client account: ?account=NAME');
        const outcome = await handlers.readOutcome(account, args[0] ?? '', args[1] ?? '');
        return outcome === undefined
          ? buildError(404, 'this account never sent the key to this service')
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
