import type { CallAnswer, CallRequest, PeerError, Result, ServiceClient } from '@laburnumshift/types';
import type { Connection } from './connection.js';
import { createConnection } from './create-connection.js';
import { isLeaving } from './is-leaving.js';
import { LOAD_SCHEMA } from './load-schema.js';
import type { ServiceClientOptions } from './service-client-options.js';

const MAX_CONNECTIONS = 256;
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** A connection that answered within this time counts as proven. */
const PROVEN_MS = 500;
/** Time for the answer to the proof. */
const PROOF_TIMEOUT_MS = 500;
/** An older idle connection is closed, because it is more likely to be silent. */
const MAX_IDLE_MS = 10_000;
const LOAD_CALL: CallRequest = { method: 'GET', path: '/load', headers: {}, body: '' };

/** Creates the client of one plain service instance. A call is sent at most once, on one connection. */
export function createServiceClient(options: ServiceClientOptions): ServiceClient {
  const idle: Connection[] = [];
  const all = new Set<Connection>();
  let closed = false;

  const dropConnection = (connection: Connection): void => {
    all.delete(connection);
    connection.close();
  };
  const openConnection = (): Connection => {
    const connection = createConnection(options.url, options.maxAnswerBytes ?? MAX_ANSWER_BYTES);
    all.add(connection);
    return connection;
  };
  /** The idle connection that answered last; broken ones are dropped on the way. */
  const takeIdle = (): Connection | undefined => {
    for (;;) {
      const connection = idle.pop();
      const isFresh = connection?.isOpen() === true && connection.getAnswerAgeMs() < MAX_IDLE_MS;
      if (connection === undefined || isFresh) return connection;
      dropConnection(connection);
    }
  };
  /** Takes a connection that was proven alive just now; an older idle one is closed, because it may be silent. */
  const takeProven = async (timeoutMs: number): Promise<Connection | PeerError> => {
    const known = takeIdle();
    if (known !== undefined && known.getAnswerAgeMs() < (options.provenMs ?? PROVEN_MS)) return known;
    if (known !== undefined) dropConnection(known);
    const fresh = openConnection();
    const proof = await fresh.sendCall(LOAD_CALL, Math.min(timeoutMs, PROOF_TIMEOUT_MS), false);
    if (proof.ok) return fresh;
    dropConnection(fresh);
    const detail = `the connection was not proven alive: ${proof.error.kind}`;
    return { kind: 'unreachable', detail, sent: false };
  };
  const sendOn = async (
    connection: Connection,
    call: CallRequest,
    timeoutMs: number,
    onlyOpen: boolean,
  ): Promise<Result<CallAnswer, PeerError>> => {
    const answer = await connection.sendCall(call, timeoutMs, onlyOpen).catch(
      // Node rejects a method, path or header that HTTP does not allow before it sends anything.
      (error: unknown): Result<CallAnswer, PeerError> => ({
        ok: false,
        error: { kind: 'unreachable', detail: `invalid request: ${String(error)}`, sent: false },
      }),
    );
    if (!answer.ok || closed) dropConnection(connection);
    else idle.push(connection);
    if (!answer.ok || !isLeaving(answer.value)) return answer;
    return { ok: false, error: { kind: 'leaving', detail: 'the server is leaving', sent: true } };
  };
  const sendCall: ServiceClient['sendCall'] = async (call, timeoutMs, proven) => {
    const isFull = idle.length === 0 && all.size >= (options.maxConnections ?? MAX_CONNECTIONS);
    if (closed || isFull) {
      const detail = closed ? 'the client is closed' : 'too many connections';
      return { ok: false, error: { kind: 'unreachable', detail, sent: false } };
    }
    if (!proven) return sendOn(takeIdle() ?? openConnection(), call, timeoutMs, false);
    const connection = await takeProven(timeoutMs);
    if ('kind' in connection) return { ok: false, error: connection };
    return sendOn(connection, call, timeoutMs, true);
  };

  return {
    sendCall,
    readLoad: async () => {
      const answer = await sendCall(LOAD_CALL, PROOF_TIMEOUT_MS, false);
      if (!answer.ok) return answer;
      try {
        const load = LOAD_SCHEMA.safeParse(JSON.parse(answer.value.body));
        if (load.success) return { ok: true, value: load.data };
      } catch {
        // Falls through to the same error as for a wrong shape.
      }
      return { ok: false, error: { kind: 'bad-answer', detail: 'invalid load report', sent: true } };
    },
    close: () => {
      closed = true;
      for (const connection of idle.splice(0)) dropConnection(connection);
    },
  };
}
