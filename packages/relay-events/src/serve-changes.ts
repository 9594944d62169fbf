import http from 'node:http';
import { openListener } from '@laburnumshift/addresses';
import { pack } from 'msgpackr';
import type { RelayPage } from './relay-page.js';

/** Serves pages of changes to other hosts; each question names the life and the position that it knows. */
export async function serveChanges(
  address: string,
  buildPage: (life: string, since: number) => RelayPage,
): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    const { searchParams } = new URL(request.url ?? '/', 'http://relay');
    const page = buildPage(searchParams.get('life') ?? '', Number(searchParams.get('since') ?? 0));
    const bytes = pack(page);
    response.writeHead(200, { 'content-type': 'application/msgpack', 'content-length': bytes.length });
    response.end(bytes);
  });
  await openListener(server, address);
  return server;
}
