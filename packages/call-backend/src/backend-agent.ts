import http from 'node:http';
import type net from 'node:net';

/** Time by which an idle connection is closed before the server would close it, in milliseconds: a round trip with room to spare. */
const IDLE_MARGIN_MS = 700;
/** Idle timeout when the server does not state its own, in milliseconds: half of the shortest usual timeout of servers. */
const DEFAULT_IDLE_TIMEOUT_MS = 2500;
const MS_PER_S = 1000;

/**
 * HTTP agent with the connections to one backend server. An idle connection that receives bytes is closed, because they belong to
 * no call. Idle connections are closed before the server closes them, so that no call is sent on a connection that is being closed.
 */
export class BackendAgent extends http.Agent {
  constructor(maxSockets: number) {
    super({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' });
  }

  /** Number of open connections; kept by Node.js, whose types lack it. */
  declare readonly totalSocketCount: number;

  override keepSocketAlive(stream: net.Socket): boolean {
    const message = (stream as { _httpMessage?: { res?: http.IncomingMessage } })._httpMessage;
    const timeoutSeconds = /timeout=(\d+)/.exec(String(message?.res?.headers['keep-alive'] ?? ''))?.[1];
    const idleTimeoutMs =
      timeoutSeconds === undefined
        ? DEFAULT_IDLE_TIMEOUT_MS
        : Number(timeoutSeconds) * MS_PER_S - IDLE_MARGIN_MS;
    if (idleTimeoutMs <= 0 || stream.readableLength > 0) return false;
    super.keepSocketAlive(stream);
    stream.setTimeout(idleTimeoutMs, closeSocket);
    stream.on('data', closeSocket);
    return true;
  }

  override reuseSocket(stream: net.Socket, request: http.ClientRequest): void {
    stream.off('data', closeSocket);
    stream.off('timeout', closeSocket);
    stream.setTimeout(0);
    super.reuseSocket(stream, request);
  }

  /** Closes idle connections now and the others after their calls. */
  closeIdleConnections(): void {
    this.maxFreeSockets = 0;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}

function closeSocket(this: net.Socket): void {
  this.destroy();
}
