import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import { buildPromises } from './build-promises.js';
import { buildTarget } from './build-target.js';
import type { Cluster } from './cluster.js';
import { DEPLOYMENTS } from './deployments.js';
import { generateWorkload } from './generate-workload.js';
import type { EntryPoint } from './entry-point.js';
import { publishDeclarations } from './publish-declarations.js';
import { readGauge } from './read-gauge.js';
import { runCandidate } from './run-candidate.js';
import { waitUntil } from './wait-until.js';
import type { DaemonFigures } from './daemon-figures.js';

const DURATION_MS = 30_000;
const PUBLISHES = 20;
/** A node is started beside this publish. */
const START_AT = 8;
/** From this publish on the platform answers slowly. */
const SLOW_FROM = 14;
const SLOW_MS = 200;
const PAUSE_MS = 300;
const WAIT_MS = 15_000;
const MEDIAN_LIMIT_MS = 3_000;
const WORST_LIMIT_MS = 8_000;

/** Times from the begin of a publish until its generation is in force on all nodes. */
interface PublishTimes {
  readonly normalMs: readonly (number | undefined)[];
  readonly slowPlatformMs: readonly (number | undefined)[];
  /** From the start of the process of the added node until it had the newest generation. */
  readonly addedNodeMs: number | undefined;
}

async function hasGeneration(entries: readonly EntryPoint[], generation: number): Promise<boolean> {
  const found = await Promise.all(entries.map((entry) => readGauge(entry, 'config_generation')));
  return found.every((value) => (value ?? 0) >= generation);
}

async function publishChange(cluster: Cluster, change: number): Promise<number> {
  const file = join(cluster.declarations, cluster.deployment.changedFile);
  const text = await readFile(file, 'utf8');
  await writeFile(file, text.replace(/"deadlineMs": \d+/, `"deadlineMs": ${String(30_000 + change)}`));
  return publishDeclarations(cluster.platformUrl, cluster.declarations);
}

async function publishOften(cluster: Cluster): Promise<PublishTimes> {
  const times: (number | undefined)[] = [];
  let added: Promise<number | undefined> = Promise.resolve(undefined);
  for (let change = 1; change <= PUBLISHES; change += 1) {
    if (change === SLOW_FROM) {
      await cluster.site.setState({ kind: 'set-platform', faults: { slowMs: SLOW_MS } });
    }
    const nodes = [...cluster.daemons];
    const startedAtMs = readMonotonicMs();
    if (change === START_AT) {
      const newest = change + 1;
      const [domain = ''] = cluster.deployment.domains;
      added = cluster
        .addDaemon('entry-added', domain)
        .then((daemon) => waitUntil(() => hasGeneration([daemon], newest), WAIT_MS))
        .then((ms) => (ms === undefined ? undefined : readMonotonicMs() - startedAtMs));
    }
    const generation = await publishChange(cluster, change);
    const waitedMs = await waitUntil(() => hasGeneration(nodes, generation), WAIT_MS);
    times.push(waitedMs === undefined ? undefined : Math.round(readMonotonicMs() - startedAtMs));
    await sleep(PAUSE_MS);
  }
  const addedNodeMs = await added;
  return {
    normalMs: times.slice(0, SLOW_FROM - 1),
    slowPlatformMs: times.slice(SLOW_FROM - 1),
    addedNodeMs: addedNodeMs === undefined ? undefined : Math.round(addedNodeMs),
  };
}

/** Publishes twenty times under load, with a node started in the middle and the platform slow at the end. */
export async function runPublish(seed: number): Promise<DaemonFigures> {
  const deployment = DEPLOYMENTS['repair-counter'];
  const workload = generateWorkload(deployment, seed, 1, DURATION_MS);
  const { figures, disturbed } = await runCandidate(deployment, 'own', workload, publishOften);
  const { normalMs, slowPlatformMs, addedNodeMs } = disturbed;
  const all = [...normalMs, ...slowPlatformMs].map((ms) => ms ?? Infinity).sort((a, b) => a - b);
  return {
    ...disturbed,
    figures,
    targets: [
      buildTarget('in force on all nodes, median, ms', MEDIAN_LIMIT_MS, all[Math.floor(all.length / 2)]),
      buildTarget('in force on all nodes, worst, ms', WORST_LIMIT_MS, all.at(-1)),
      buildTarget('in force on a node started in the middle, ms', WORST_LIMIT_MS, addedNodeMs),
      ...buildPromises(figures),
    ],
  };
}
