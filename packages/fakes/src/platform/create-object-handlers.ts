import { startTimer } from '@laburnumshift/clock';
import { z } from 'zod';
import type { ObjectStore } from './object-store.js';
import type { PlatformAnswer } from './platform-answer.js';
import type { PlatformCall } from './platform-call.js';

const MAX_VALUE_BYTES = 1_000_000;
const DEFAULT_WAIT_MS = 25_000;
const WRITE_SCHEMA = z.object({
  ifVersion: z.number().int().min(0).optional(),
  changeId: z.string().min(1),
  value: z.json(),
});

const reply = (status: number, body: unknown): PlatformAnswer => ({ kind: 'answer', status, body });

/** Creates the handlers of the object API, by call type. */
export function createObjectHandlers(
  store: ObjectStore,
): Readonly<Record<string, (call: PlatformCall) => Promise<PlatformAnswer>>> {
  const readObject = (call: PlatformCall): PlatformAnswer => {
    const object = store.getObject(call.path[1] ?? '', call.path[2] ?? '');
    return object === undefined ? reply(404, {}) : reply(200, object);
  };

  const writeObject = (call: PlatformCall): PlatformAnswer => {
    const parsed = WRITE_SCHEMA.safeParse(call.body);
    if (!parsed.success) return reply(400, { error: z.prettifyError(parsed.error) });
    const { ifVersion, changeId, value } = parsed.data;
    if (Buffer.byteLength(JSON.stringify(value)) > MAX_VALUE_BYTES) return reply(413, {});
    const result = store.changeObject(call.path[1] ?? '', call.path[2] ?? '', ifVersion, changeId, value);
    return reply(result.kind === 'changed' ? 200 : 409, { version: result.version });
  };

  const deleteObject = (call: PlatformCall): PlatformAnswer => {
    const [, kind = '', name = ''] = call.path;
    if (store.getObject(kind, name) === undefined) return reply(404, {});
    const text = call.query.get('ifVersion');
    const result = store.changeObject(kind, name, text === null ? undefined : Number(text), '', undefined);
    return reply(result.kind === 'changed' ? 200 : 409, { version: result.version });
  };

  const listObjects = (call: PlatformCall): PlatformAnswer => {
    const limit = Number(call.query.get('limit') ?? '1000');
    const matching = store.listObjects(
      call.path[1] ?? '',
      call.query.get('prefix') ?? '',
      call.query.get('after') ?? '',
    );
    const items: { name: string; version: number; value: unknown }[] = [];
    let bytes = 0;
    for (const { name, version, value } of matching) {
      bytes += Buffer.byteLength(JSON.stringify(value)) + name.length;
      if (items.length >= limit || (items.length > 0 && bytes > MAX_VALUE_BYTES)) break;
      items.push({ name, version, value });
    }
    const next = items.length < matching.length ? { next: items.at(-1)?.name } : {};
    return reply(200, { items, revision: store.getRevision(), ...next });
  };

  const watchObjects = async (call: PlatformCall): Promise<PlatformAnswer> => {
    const kind = call.path[1] ?? '';
    const since = Number(call.query.get('since') ?? '0');
    const stopper = new AbortController();
    const cancelTimer = startTimer(Number(call.query.get('waitMs') ?? String(DEFAULT_WAIT_MS)), () => {
      stopper.abort();
    });
    const signal = AbortSignal.any([call.signal, stopper.signal]);
    try {
      for (;;) {
        const events = store.listChanges(kind, since);
        if (events === undefined) return reply(410, { revision: store.getRevision() });
        if (events.length > 0 || signal.aborted) return reply(200, { revision: store.getRevision(), events });
        await store.waitForChange(kind, signal);
      }
    } finally {
      cancelTimer();
    }
  };

  return {
    read: (call) => Promise.resolve(readObject(call)),
    write: (call) => Promise.resolve(writeObject(call)),
    delete: (call) => Promise.resolve(deleteObject(call)),
    list: (call) => Promise.resolve(listObjects(call)),
    watch: watchObjects,
  };
}
