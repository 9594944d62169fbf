import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { DemoSite } from './demo-site.js';
import { runCommand } from './run-command.js';
import { startDaemon } from './start-daemon.js';
import { startFakes } from './start-fakes.js';
import { stopSite } from './stop-site.js';
import { writeDeclarations } from './write-declarations.js';

const EXAMPLES = fileURLToPath(new URL('../../../../examples', import.meta.url));
const DAEMONS = 3;

/** Starts the fakes and three daemons with files below `directory`, and publishes the example declarations. */
export async function startSite(directory: string, report: (text: string) => void): Promise<DemoSite> {
  report('Starting the fakes and the daemons.');
  const fakes = startFakes();
  const site = { fakes, daemons: [], platformUrl: '', declarations: join(directory, 'declarations') };
  try {
    return await startDaemons(site, directory, report);
  } catch (error) {
    await stopSite(site);
    throw error;
  }
}

async function startDaemons(
  site: DemoSite,
  directory: string,
  report: (text: string) => void,
): Promise<DemoSite> {
  const { fakes, daemons, declarations } = site;
  const { platformUrl, addresses } = await fakes.ask({ kind: 'start', directory: EXAMPLES }, 'started');
  await writeDeclarations(EXAMPLES, declarations, new Map(Object.entries(addresses)));
  for (let i = 0; i < DAEMONS; i += 1) {
    const domain = `domain-${String(i % 3)}`;
    daemons.push(await startDaemon(directory, `entry-${String(i + 1)}`, domain, platformUrl));
  }
  const nodes = daemons.map(({ host, failureDomain, meshAddress }) => ({
    host,
    kind: 'node' as const,
    failureDomain,
    state: 'live' as const,
    address: meshAddress,
  }));
  await fakes.ask({ kind: 'set-nodes', nodes }, 'done');
  report('Publishing the example declarations.');
  const node = daemons[0]?.operatorsUrl ?? '';
  await runCommand('publish', declarations, '--platform', platformUrl, '--author', 'demo', '--node', node);
  return { ...site, platformUrl };
}
