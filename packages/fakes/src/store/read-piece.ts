import { applyPointFault } from './apply-point-fault.js';
import type { HeldPiece } from './held-piece.js';
import { sendJson } from './send-json.js';
import type { StoreCall } from './store-call.js';

/** Flips the bits of every byte. */
function replaceBytes(body: Buffer): Buffer {
  return Buffer.from(body.map((byte) => byte ^ 0xff));
}

/** Moves a part of the piece over the link, and over the disk at the same time when it lies there. */
async function moveOverLink(call: StoreCall, piece: HeldPiece, bytes: number): Promise<void> {
  const { context, signal } = call;
  context.counters.linkBytes += bytes;
  const moves = [context.link.moveBytes(bytes, signal)];
  if (piece.tier === 'disk') moves.push(context.disk.moveBytes(bytes, signal));
  await Promise.all(moves);
}

/**
 * Sends the body of a piece in two halves. A piece that was freed or rewritten in between shows its new bytes in the second half,
 * as a store without locks would.
 */
export async function readPiece(call: StoreCall): Promise<void> {
  const { context, response, key, url } = call;
  const { server } = context;
  const startFault = applyPointFault(call, 'read-start');
  if (startFault === 'cut' || startFault === 'die' || startFault === 'silent') return;
  const piece = context.table.findPiece(key);
  if (piece === undefined || startFault === 'error') {
    sendJson(server, response, piece === undefined ? 404 : 500, { error: 'not available' });
    return;
  }
  const wanted = url.searchParams.get('generation');
  if (wanted !== null && Number(wanted) !== piece.generation) {
    sendJson(server, response, 409, { error: 'other generation', generation: piece.generation });
    return;
  }
  context.counters.reads += 1;
  const length = startFault === 'truncate' ? Math.floor(piece.body.length / 2) : piece.body.length;
  const half = Math.floor(length / 2);
  await moveOverLink(call, piece, piece.bytes / 2);
  if (server.isSilent(response)) return;
  response.writeHead(200, {
    'content-length': String(length),
    'x-generation': String(piece.generation),
    'x-length': String(piece.body.length),
    'x-checksum': piece.checksum,
    'x-weight-version': startFault === 'wrong-version' ? 'injected' : piece.weightVersion,
  });
  const first = piece.body.subarray(0, half);
  response.write(startFault === 'corrupt' ? replaceBytes(first) : first);
  const middleFault = applyPointFault(call, 'read-middle');
  if (middleFault === 'die' || middleFault === 'silent') return;
  await moveOverLink(call, piece, piece.bytes / 2);
  if (server.isSilent(response)) return;
  if (middleFault === 'truncate' || middleFault === 'error') {
    response.destroy();
    return;
  }
  const now = context.table.findPiece(key)?.body ?? Buffer.alloc(piece.body.length);
  const rest = now.subarray(half, length);
  response.write(middleFault === 'corrupt' ? replaceBytes(rest) : rest);
  const endFault = applyPointFault(call, 'read-end');
  if (endFault === 'silent' || endFault === 'cut' || endFault === 'die') return;
  response.end();
}
