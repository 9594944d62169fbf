import { describePiece } from './describe-piece.js';
import { listPage } from './list-page.js';
import { readBody } from './read-body.js';
import { readPiece } from './read-piece.js';
import { replyAtPoint } from './reply-at-point.js';
import { sendJson } from './send-json.js';
import type { StoreCall } from './store-call.js';
import { storeFaultsSchema } from './store-faults-schema.js';
import { STORE_SCHEMAS } from './store-schemas.js';
import { writePiece } from './write-piece.js';

const NOT_FOUND = { status: 404, value: { error: 'not found' } };

async function readJson(call: StoreCall): Promise<unknown> {
  return JSON.parse((await readBody(call.request)).toString());
}

function describeKey(call: StoreCall): { status: number; value: unknown } {
  const piece = call.context.table.findPiece(call.key);
  return piece === undefined ? NOT_FOUND : { status: 200, value: describePiece(piece) };
}

/** Handlers of the fake store by method and path; `KEY` stands for the key of a piece. */
export const STORE_ROUTES: Readonly<Record<string, (call: StoreCall) => Promise<void> | void>> = {
  'PUT /pieces/KEY': writePiece,
  'GET /pieces/KEY': readPiece,
  'POST /pieces/KEY/commit': async (call) => {
    const { generation, length, checksum } = STORE_SCHEMAS.commit.parse(await readJson(call));
    replyAtPoint(call, 'commit', () => {
      const committed = call.context.table.finishPiece(call.key, generation, length, checksum);
      return committed
        ? { status: 200, value: { generation } }
        : { status: 409, value: { error: 'not committed' } };
    });
  },
  'POST /pieces/KEY/pin': async (call) => {
    const { ttlMs } = STORE_SCHEMAS.pin.parse(await readJson(call));
    if (call.context.table.findPiece(call.key) !== undefined) call.context.table.pinPiece(call.key, ttlMs);
    replyAtPoint(call, 'pin', () => describeKey(call));
  },
  'POST /pieces/KEY/unpin': (call) => {
    call.context.table.releasePin(call.key);
    replyAtPoint(call, 'unpin', () => ({ status: 200, value: {} }));
  },
  'GET /pieces/KEY/meta': (call) => {
    replyAtPoint(call, 'meta', () => describeKey(call));
  },
  'POST /pieces/KEY/move': async (call) => {
    const { tier } = STORE_SCHEMAS.move.parse(await readJson(call));
    const { context, key, signal } = call;
    const piece = context.table.findPiece(key);
    if (piece !== undefined && piece.tier !== tier) await context.disk.moveBytes(piece.bytes, signal);
    replyAtPoint(call, 'move', () => {
      if (context.table.findPiece(key) === undefined) return NOT_FOUND;
      if (context.getFaults().full || !context.table.movePiece(key, tier))
        return { status: 507, value: { error: 'full' } };
      context.counters.moves += 1;
      return describeKey(call);
    });
  },
  'DELETE /pieces/KEY': (call) => {
    replyAtPoint(call, 'delete', () => {
      const { table, counters } = call.context;
      if (table.isPinned(call.key)) return { status: 409, value: { error: 'pinned' } };
      if (!table.dropPiece(call.key)) return NOT_FOUND;
      counters.deletes += 1;
      return { status: 200, value: {} };
    });
  },
  'GET /pieces': (call) => {
    replyAtPoint(call, 'list', () => listPage(call));
  },
  'GET /faults': (call) => {
    sendJson(call.context.server, call.response, 200, call.context.getFaults());
  },
  'PUT /faults': async (call) => {
    const patch = storeFaultsSchema.safeParse(await readJson(call));
    if (patch.success) call.context.setFaults(patch.data as Parameters<typeof call.context.setFaults>[0]);
    sendJson(call.context.server, call.response, patch.success ? 200 : 400, call.context.getFaults());
  },
  'GET /counters': (call) => {
    sendJson(call.context.server, call.response, 200, call.context.counters);
  },
};
