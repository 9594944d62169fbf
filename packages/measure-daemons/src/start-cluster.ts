import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from '@laburnumshift/clock';
import type { Cluster } from './cluster.js';
import type { Daemon } from './daemon.js';
import type { Deployment } from './deployment.js';
import { publishDeclarations } from './publish-declarations.js';
import { readGauge } from './read-gauge.js';
import { startDaemon } from './start-daemon.js';
import { startSiteProcess } from './start-site-process.js';
import { waitUntil } from './wait-until.js';
import { writeDeclarations } from './write-declarations.js';

const EXAMPLES = fileURLToPath(new URL('../../../../examples/', import.meta.url));
const DAEMONS = 6;
/** Pieces in an engine's prefix cache: about 5 s of the steady load. */
const ENGINE_PIECES = 24;
const START_LIMIT_MS = 20_000;
/** The cell homes read load and cache events for this long before the first request. */
const SETTLE_MS = 1_500;

/** Starts the fakes of a deployment and six daemons, and publishes its declarations; resolves when all are ready. */
export async function startCluster(deployment: Deployment, candidate: string): Promise<Cluster> {
  const directory = await mkdtemp(join(tmpdir(), 'laburnumshift-measure-'));
  const declarations = join(directory, 'declarations');
  const site = startSiteProcess();
  const daemons: Daemon[] = [];
  const close = async (): Promise<void> => {
    await Promise.all(daemons.map((daemon) => daemon.stop('SIGKILL')));
    site.stop();
    await rm(directory, { recursive: true, force: true });
  };
  try {
    const source = join(EXAMPLES, deployment.directory);
    const { platformUrl, addresses } = await site.startSite(source, ENGINE_PIECES);
    await writeDeclarations(source, declarations, new Map(Object.entries(addresses)));
    const updateNodes = (): Promise<void> =>
      site.setState({
        kind: 'set-nodes',
        nodes: daemons.map(({ host, failureDomain, meshAddress }) => ({
          host,
          kind: 'node',
          failureDomain,
          state: 'live',
          address: meshAddress,
        })),
      });
    const addDaemon: Cluster['addDaemon'] = async (host, failureDomain) => {
      const daemon = await startDaemon(directory, host, failureDomain, platformUrl, candidate);
      daemons.push(daemon);
      await updateNodes();
      return daemon;
    };
    const { domains } = deployment;
    await Promise.all(
      Array.from({ length: DAEMONS }, (_, index) =>
        addDaemon(`entry-${String(index + 1)}`, domains[index % domains.length] ?? ''),
      ),
    );
    const generation = await publishDeclarations(platformUrl, declarations);
    const readyMs = await waitUntil(async () => {
      const [generations, members] = await Promise.all(
        ['config_generation', 'live_members'].map((name) =>
          Promise.all(daemons.map((daemon) => readGauge(daemon, name))),
        ),
      );
      const hasConfig = generations?.every((value) => value === generation) === true;
      return hasConfig && members?.every((value) => value === DAEMONS) === true;
    }, START_LIMIT_MS);
    if (readyMs === undefined) throw new Error('the daemons did not become ready');
    await sleep(SETTLE_MS);
    const removeDaemon: Cluster['removeDaemon'] = async (daemon) => {
      daemons.splice(daemons.indexOf(daemon), 1);
      await updateNodes();
    };
    return { deployment, site, platformUrl, declarations, daemons, addDaemon, removeDaemon, close };
  } catch (error) {
    await close();
    throw error;
  }
}
