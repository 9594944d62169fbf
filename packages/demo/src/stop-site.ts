import type { DemoSite } from './demo-site.js';

/** Stops the daemons gracefully, then the fakes. */
export async function stopSite(site: Pick<DemoSite, 'daemons' | 'fakes'>): Promise<void> {
  await Promise.all(site.daemons.map((daemon) => daemon.stop('SIGTERM')));
  site.fakes.stop();
}
