import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import {
  createSuspectTable,
  startSuspectSharing,
  type CallTrait,
  type SuspectTable,
} from '@laburnumshift/quarantine-pieces';
import { chooseRelays } from '@laburnumshift/share-load';
import { pack } from 'msgpackr';
import { findHome } from './find-home.js';
import { measureHeap } from './measure-heap.js';
import { measureTime } from './measure-time.js';
import type { Point } from './point.js';
import type { Series } from './series.js';

const HOSTS = 470;
const PIECES_PER_CALL = 8;
const SUSPECTS = [64, 256, 1024, 2048];
const CONVICTIONS = [1, 8, 32];
/** Duration over which messages are counted, milliseconds; changes are no longer repeated before it. */
const COUNT_MS = 3000;
const QUIET_AFTER_MS = 1500;

/** Measures what a host at the target size knows and sends of the pieces that crash servers. */
export async function measureQuarantine(): Promise<readonly Series[]> {
  const memory: Point[] = [];
  for (const x of SUSPECTS) memory.push({ x, y: await measureHeap(() => buildTable(x, 1)) });
  const messages: Point[] = [];
  for (const x of CONVICTIONS) messages.push({ x, y: await countRelayBytes(x) });
  const full = buildTable(SUSPECTS.at(-1) ?? 0, 1);
  const calls = Array.from({ length: 64 }, (_, call) =>
    Array.from({ length: PIECES_PER_CALL }, (__, index) =>
      buildTrait(1_000_000 + call * PIECES_PER_CALL + index),
    ),
  );
  const serve = measureTime((turn) => {
    full.recordSurvival(calls[turn % calls.length] ?? [], readMonotonicMs());
  });
  return [
    { name: 'memory of suspects', unit: 'bytes', per: 'suspects', points: memory },
    { name: 'sent by a relay', unit: 'bytes/s', per: 'convictions', points: messages },
    { name: 'record a served call', unit: 'us', per: 'calls', points: [{ x: 1, y: serve }] },
  ];
}

function buildTrait(number: number): CallTrait {
  return {
    trait: `model-000001/${number.toString(16).padStart(12, '0')}`,
    position: number % PIECES_PER_CALL,
  };
}

/** Builds a table in which each suspect was on `crashes` crashed servers, one second apart. */
function buildTable(suspects: number, crashes: number): SuspectTable {
  const table = createSuspectTable(
    () => HOSTS,
    () => 0.5,
  );
  for (let number = 0; number < suspects; number += 1)
    for (let crash = 0; crash < crashes; crash += 1) {
      const server = `i-${(number * crashes + crash).toString(16).padStart(10, '0')}`;
      table.recordCrash({ server, bornMs: 1, atMs: readMonotonicMs() - crash * 1000 }, [buildTrait(number)]);
    }
  return table;
}

/** Counts the bytes that the first relay of a failure domain sends in a second for convictions that do not change. */
async function countRelayBytes(convictions: number): Promise<number> {
  const { home: relay, peers } = findHome();
  let bytes = 0;
  const table = buildTable(convictions, 2);
  const stop = startSuspectSharing({
    self: relay,
    table,
    listPeers: () => peers,
    getPlan: () => chooseRelays(relay, peers, () => false),
    channel: {
      sendMessage: (addresses, message) => {
        bytes += addresses.length * pack(message).length;
      },
      handleMessages: () => undefined,
    },
  });
  const last = convictions - 1;
  table.recordCrash({ server: 'i-last', bornMs: 1, atMs: readMonotonicMs() }, [buildTrait(last)]);
  await sleep(QUIET_AFTER_MS);
  bytes = 0;
  await sleep(COUNT_MS);
  stop();
  return bytes / (COUNT_MS / 1000);
}
