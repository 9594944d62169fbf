import http from 'node:http';
import type net from 'node:net';

/** Idle connections are closed so long before the server would close them, milliseconds: a way there and back with room. */
const IDLE_MARGIN_MS = 700;
/** Idle time when the server does not tell its own, milliseconds; half of the shortest that servers usually have. */
const DEFAULT_IDLE_MS = 2500;
const MS_PER_S = 1000;

/**
 * Connections to one backend server. An idle connection that receives bytes is closed: the bytes belong to no call. Servers
 * close idle connections, so each is given up some time before that.
 */
export class BackendAgent extends http.Agent {
  constructor(maxSockets: number) {
    super({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' });
  }

  override keepSocketAlive(stream: net.Socket): boolean {
    const message = (stream as { _httpMessage?: { res?: http.IncomingMessage } })._httpMessage;
    const hint = /timeout=(\d+)/.exec(String(message?.res?.headers['keep-alive'] ?? ''))?.[1];
    const idleMs = hint === undefined ? DEFAULT_IDLE_MS : Number(hint) * MS_PER_S - IDLE_MARGIN_MS;
    if (idleMs <= 0 || stream.readableLength > 0) return false;
    super.keepSocketAlive(stream);
    stream.setTimeout(idleMs, closeIdle);
    stream.on('data', closeIdle);
    return true;
  }

  override reuseSocket(stream: net.Socket, request: http.ClientRequest): void {
    stream.off('data', closeIdle);
    stream.off('timeout', closeIdle);
    stream.setTimeout(0);
    super.reuseSocket(stream, request);
  }

  /** Closes idle connections now and the others after their calls. */
  closeIdle(): void {
    this.maxFreeSockets = 0;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}

function closeIdle(this: net.Socket): void {
  this.destroy();
}
