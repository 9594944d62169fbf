import type { CallResponse, CallRequest, PeerError, Result, ServiceClient } from '@laburnumshift/types';
import type { Connection } from './connection.js';
import { createConnection } from './create-connection.js';
import { isLeaving } from './is-leaving.js';
import { LOAD_SCHEMA } from './load-schema.js';
import type { ServiceClientOptions } from './service-client-options.js';

const MAX_CONNECTIONS = 256;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Default of `recentResponseMs`. */
const RECENT_ANSWER_MS = 500;
/** Timeout of a load request, which also serves as the liveness check of a connection. */
const LOAD_TIMEOUT_MS = 500;
/** An idle connection whose last response is older is closed, because it is more likely to be silent. */
const MAX_IDLE_MS = 10_000;
const LOAD_CALL: CallRequest = { method: 'GET', path: '/load', headers: {}, body: '' };

/** Creates the client of one plain service instance. A call is sent at most once, on one connection. */
export function createServiceClient(options: ServiceClientOptions): ServiceClient {
  const idleConnections: Connection[] = [];
  const connections = new Set<Connection>();
  let closed = false;

  const dropConnection = (connection: Connection): void => {
    connections.delete(connection);
    connection.close();
  };
  const openConnection = (): Connection => {
    const connection = createConnection(options.url, options.maxResponseBytes ?? MAX_ANSWER_BYTES);
    connections.add(connection);
    return connection;
  };
  /** Takes the idle connection that was used last; drops those that are closed or too old. */
  const takeIdle = (): Connection | undefined => {
    for (;;) {
      const connection = idleConnections.pop();
      const isFresh = connection?.isOpen() === true && connection.getMsSinceResponse() < MAX_IDLE_MS;
      if (connection === undefined || isFresh) return connection;
      dropConnection(connection);
    }
  };
  /**
   * Takes the last used idle connection when it answered within `recentResponseMs`. Otherwise it is closed, because it may be silent,
   * and a new connection is opened and checked with a load request.
   */
  const takeCheckedConnection = async (timeoutMs: number): Promise<Connection | PeerError> => {
    const known = takeIdle();
    if (known !== undefined && known.getMsSinceResponse() < (options.recentResponseMs ?? RECENT_ANSWER_MS))
      return known;
    if (known !== undefined) dropConnection(known);
    const fresh = openConnection();
    const check = await fresh.sendCall(LOAD_CALL, Math.min(timeoutMs, LOAD_TIMEOUT_MS), false);
    if (check.ok) return fresh;
    dropConnection(fresh);
    const detail = `the liveness check of a new connection failed: ${check.error.kind}`;
    return { kind: 'unreachable', detail, sent: false };
  };
  const sendOn = async (
    connection: Connection,
    call: CallRequest,
    timeoutMs: number,
    requireOpen: boolean,
  ): Promise<Result<CallResponse, PeerError>> => {
    const answer = await connection.sendCall(call, timeoutMs, requireOpen).catch(
      // Before it sends anything, Node rejects a method, path or header that HTTP does not allow.
      (error: unknown): Result<CallResponse, PeerError> => ({
        ok: false,
        error: { kind: 'unreachable', detail: `invalid request: ${String(error)}`, sent: false },
      }),
    );
    if (!answer.ok || closed) dropConnection(connection);
    else idleConnections.push(connection);
    if (!answer.ok || !isLeaving(answer.value)) return answer;
    return { ok: false, error: { kind: 'leaving', detail: 'the server is leaving', sent: true } };
  };
  const sendCall: ServiceClient['sendCall'] = async (call, timeoutMs, requireRecentAnswer) => {
    const isFull =
      idleConnections.length === 0 && connections.size >= (options.maxConnections ?? MAX_CONNECTIONS);
    if (closed || isFull) {
      const detail = closed ? 'the client is closed' : 'too many connections';
      return { ok: false, error: { kind: 'unreachable', detail, sent: false } };
    }
    if (!requireRecentAnswer) return sendOn(takeIdle() ?? openConnection(), call, timeoutMs, false);
    const connection = await takeCheckedConnection(timeoutMs);
    if ('kind' in connection) return { ok: false, error: connection };
    return sendOn(connection, call, timeoutMs, true);
  };

  return {
    sendCall,
    readLoad: async () => {
      const answer = await sendCall(LOAD_CALL, LOAD_TIMEOUT_MS, false);
      if (!answer.ok) return answer;
      try {
        const load = LOAD_SCHEMA.safeParse(JSON.parse(answer.value.body));
        if (load.success) return { ok: true, value: load.data };
      } catch {
        // Falls through to the error for a body that does not match the schema.
      }
      return { ok: false, error: { kind: 'bad-answer', detail: 'invalid load report', sent: true } };
    },
    close: () => {
      closed = true;
      for (const connection of idleConnections.splice(0)) dropConnection(connection);
    },
  };
}
