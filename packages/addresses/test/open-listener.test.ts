import net from 'node:net';
import { openListener, parseAddress } from '@laburnumshift/addresses';
import test from 'ava';

test('guards against an IPv6 address that keeps its brackets, which Node does not accept', (t) => {
  t.deepEqual(parseAddress('10.0.0.1:80'), { host: '10.0.0.1', port: 80 });
  t.deepEqual(parseAddress('[::1]:80'), { host: '::1', port: 80 });
});

test('guards against a listener that ignores an error because the port is in use', async (t) => {
  const first = net.createServer();
  const second = net.createServer();
  t.teardown(() => {
    first.close();
  });
  await openListener(first, '127.0.0.1:0');
  const { port } = first.address() as net.AddressInfo;
  const error = await t.throwsAsync(openListener(second, `127.0.0.1:${String(port)}`));
  t.is((error as NodeJS.ErrnoException).code, 'EADDRINUSE');
});
