import { once } from 'node:events';
import { mkdir, writeFile } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { startSite } from './start-site.js';
import { stopSite } from './stop-site.js';
import { waitForMembers } from './wait-for-members.js';

/** Key of the example account `night-guides`. */
const EXAMPLE_KEY = 'night-guides-demo-key';

/**
 * Starts the fakes and the daemons and keeps them until SIGINT or SIGTERM. The addresses and the key of an example
 * account are printed and written to `env.sh` in the directory, for a shell to read.
 */
export async function runSite(directory: string, report: (text: string) => void): Promise<void> {
  const place = resolve(directory);
  await mkdir(place, { recursive: true });
  const stopped = Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
  const site = await startSite(place, report);
  await waitForMembers(site.daemons);
  const [first, second] = site.daemons;
  const variables = {
    LABURNUMSHIFT_PLATFORM: site.platformUrl,
    LABURNUMSHIFT_NODE: first?.operatorsUrl ?? '',
    CALLERS: first?.callersUrl ?? '',
    OTHER_NODE: second?.operatorsUrl ?? '',
    OTHER_CALLERS: second?.callersUrl ?? '',
    ACCOUNT_KEY: EXAMPLE_KEY,
    DECLARATIONS: site.declarations,
  };
  const lines = Object.entries(variables).map(([name, value]) => `export ${name}='${value}'`);
  await writeFile(join(place, 'env.sh'), `${lines.join('\n')}\n`);
  for (const { host, callersUrl, operatorsUrl } of site.daemons) {
    report(`${host}: callers ${callersUrl}, operators ${operatorsUrl}`);
  }
  report(lines.join('\n'));
  report(`Running until Ctrl-C. In another terminal type: . ${join(directory, 'env.sh')}`);
  await stopped;
  report('Stopping.');
  await stopSite(site);
}
