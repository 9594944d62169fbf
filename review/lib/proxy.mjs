/**
 * A TCP proxy in front of one address. While it is cut it loses all bytes, and new connections get no answer. A connection that was
 * silenced loses all further bytes and its end for good, while new ones work.
 */
import net from 'node:net';

export async function startProxy(target) {
  const [host, port] = target.split(':');
  const sockets = new Set();
  let isCut = false;
  let generation = 0;
  const server = net.createServer({ allowHalfOpen: true }, (client) => {
    const upstream = net.connect({ port: Number(port), host, allowHalfOpen: true });
    const own = generation;
    for (const [from, to] of [
      [client, upstream],
      [upstream, client],
    ]) {
      sockets.add(from);
      // Nothing may follow what was lost on a connection.
      let hasGap = isCut;
      const isLost = () => {
        hasGap ||= isCut || own < generation;
        return hasGap;
      };
      from.on('data', (bytes) => {
        if (!isLost()) to.write(bytes);
      });
      from.on('end', () => {
        if (!isLost()) to.end();
      });
      from.on('error', () => {
        if (!isLost()) to.destroy();
      });
      from.on('close', () => sockets.delete(from));
    }
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    setCut: (value) => {
      isCut = value;
    },
    silenceOpenConnections: () => {
      generation += 1;
    },
    stop: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
