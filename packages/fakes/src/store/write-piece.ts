import { readBody } from './read-body.js';
import { replyAtPoint } from './reply-at-point.js';
import { sendJson } from './send-json.js';
import type { StoreCall } from './store-call.js';

/** Takes the body of a piece, which stays unreadable until its commit. */
export async function writePiece(call: StoreCall): Promise<void> {
  const { context, request, response, url, key, signal } = call;
  const body = await readBody(request);
  const tier = url.searchParams.get('tier') === 'disk' ? 'disk' : 'memory';
  const bytes = Number(url.searchParams.get('size') ?? body.length);
  const weightVersion = request.headers['x-weight-version'];
  const version = typeof weightVersion === 'string' ? weightVersion : '';
  const piece = context.getFaults().full
    ? undefined
    : context.table.beginPiece(key, tier, bytes, version, body);
  if (piece === undefined) {
    sendJson(context.server, response, 507, { error: 'full' });
    return;
  }
  context.counters.puts += 1;
  context.counters.linkBytes += bytes;
  const moves = [context.link.moveBytes(bytes, signal)];
  if (tier === 'disk') moves.push(context.disk.moveBytes(bytes, signal));
  await Promise.all(moves);
  replyAtPoint(call, 'put', () => ({ status: 200, value: { generation: piece.generation } }));
}
