import { readMonotonicMs } from '@laburnumshift/clock';
import type { PlatformEvent } from '@laburnumshift/types';
import { ANSWER_SCHEMAS } from './answer-schemas.js';
import { encodePath } from './encode-path.js';
import { listKind } from './list-kind.js';
import type { Transport } from './transport.js';

/** Time that a waiting watch may answer late before its connection counts as silent. */
const WATCH_GRACE_MS = 2000;

/** Backoff step after a failed watch or listing: a pause of 100 to 200 ms. */
const FAILED_ATTEMPT = 2;

/** The shared watch of one kind. */
interface KindWatch {
  /** Adds a reader, which first gets the known objects; the returned function removes it. */
  readonly addHandler: (handler: (events: readonly PlatformEvent[]) => void) => () => void;
}

/**
 * Follows a kind from its first reader until its last one is gone: a listing, then waiting calls from its revision. After
 * a 410 it lists again and reports the difference. Changes of an object are reported in the order of their versions.
 */
export function createKindWatch(transport: Transport, kind: string, watchMs: number): KindWatch {
  const handlers = new Set<(events: readonly PlatformEvent[]) => void>();
  const known = new Map<string, PlatformEvent>();
  let running = false;

  const isNeeded = (): boolean => handlers.size > 0 && !transport.isClosed();

  const applyEvents = (events: readonly PlatformEvent[]): void => {
    const fresh = events.filter((event) => event.version > (known.get(event.name)?.version ?? 0));
    for (const event of fresh) {
      if (event.value === null) known.delete(event.name);
      else known.set(event.name, event);
    }
    if (fresh.length > 0) for (const handler of [...handlers]) handler(fresh);
  };

  const resyncKind = async (): Promise<number | undefined> => {
    const listed = await listKind(transport, kind, '', 'config');
    if (listed.kind === 'unavailable') return undefined;
    const names = new Set(listed.items.map((item) => item.name));
    const gone = [...known.keys()].filter((name) => !names.has(name));
    applyEvents([
      ...gone.map((name) => ({ name, version: listed.revision, value: null })),
      ...listed.items.map(({ name, version, value }) => ({ name, version, value })),
    ]);
    return listed.revision;
  };

  /** Waits for changes after the revision; returns the next one, or `undefined` when a listing is needed. */
  const waitForChanges = async (revision: number): Promise<number | undefined> => {
    const query = `since=${String(revision)}&waitMs=${String(watchMs)}`;
    const limitMs = watchMs + WATCH_GRACE_MS;
    const call = { method: 'GET', path: `${encodePath('watch', kind)}?${query}` } as const;
    const answer = await transport.sendCall(call, 'config', readMonotonicMs() + limitMs, limitMs);
    if (answer.kind === 'answered' && answer.status === 410) return undefined;
    const parsed = ANSWER_SCHEMAS.changes.safeParse(answer.kind === 'answered' ? answer.body : undefined);
    if (answer.kind === 'failed' || answer.status !== 200 || !parsed.success) {
      const retryAfterMs = answer.kind === 'answered' ? answer.retryAfterMs : 0;
      await transport.pauseAttempt(FAILED_ATTEMPT, retryAfterMs);
      return revision;
    }
    // A revision below the last one means that the platform was restored; only a listing can tell what changed.
    if (parsed.data.revision < revision) return undefined;
    applyEvents(parsed.data.events);
    return parsed.data.revision;
  };

  const runWatch = async (): Promise<void> => {
    let revision: number | undefined;
    while (isNeeded()) {
      if (revision === undefined) {
        revision = await resyncKind();
        if (revision === undefined) await transport.pauseAttempt(FAILED_ATTEMPT, 0);
      } else {
        revision = await waitForChanges(revision);
      }
    }
    running = false;
    known.clear();
  };

  return {
    addHandler: (handler) => {
      if (known.size > 0) handler([...known.values()]);
      handlers.add(handler);
      if (!running) {
        running = true;
        void runWatch();
      }
      return () => {
        handlers.delete(handler);
      };
    },
  };
}
