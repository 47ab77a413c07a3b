/** Stand-in for the platform: takes promotions and usage reports, and refuses a fence lower than one already seen. */
import http from 'node:http';

/** @param onPromotion - returns false when the named member is not running */
export async function startPlatform({ host, record, onPromotion }) {
  const fences = new Map();

  function reply(request, body) {
    const fence = Number(request.headers['fence-number']);
    const subject = request.url === '/promotion' ? `promotion ${body.Plant}` : 'usage';
    if (fence < (fences.get(subject) ?? 0)) return 409;
    fences.set(subject, fence);
    if (request.url === '/usage') return 200;
    if (request.url !== '/promotion') return 404;
    const isRunning = onPromotion(body);
    record(`platform: promotion of ${body.InstanceId} by ${request.headers['duty-holder']}, fence ${fence}: ${isRunning ? 200 : 409}`);
    return isRunning ? 200 : 409;
  }

  const server = http.createServer((request, response) => {
    let text = '';
    request.on('data', (chunk) => (text += chunk));
    request.on('end', () => {
      response.writeHead(reply(request, JSON.parse(text)), { 'content-type': 'application/json' });
      response.end('{}');
    });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    stop: function stop() {
      server.close();
      server.closeAllConnections();
    },
  };
}
