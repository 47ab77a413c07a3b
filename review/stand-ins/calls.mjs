/** HTTP calls of members and of the operator to the nodes that serve them. */
import http from 'node:http';

/** Resolves to the status and the body; status 0 after a failure or a second of silence. */
export function call(address, method, path, body, milliseconds = 1_000) {
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise((resolve) => {
    const request = http.request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) },
      },
      (response) => {
        let received = '';
        response.setEncoding('utf8');
        response.on('data', (chunk) => (received += chunk));
        response.on('end', () => resolve({ status: response.statusCode ?? 0, body: received }));
        response.on('error', () => resolve({ status: 0, body: '' }));
      },
    );
    request.setTimeout(milliseconds, () => request.destroy());
    request.on('error', () => resolve({ status: 0, body: '' }));
    request.end(text);
  });
}
