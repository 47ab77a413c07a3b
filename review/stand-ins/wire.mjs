/** Lines of the session wire. */
export function createLines(socket, onLine) {
  let rest = '';
  socket.setEncoding('latin1');
  socket.on('data', (chunk) => {
    rest += chunk;
    for (let at = rest.indexOf('\r\n'); at >= 0; at = rest.indexOf('\r\n')) {
      const line = rest.slice(0, at);
      rest = rest.slice(at + 2);
      onLine(line);
    }
  });
}

export function splitFirst(text) {
  const blank = text.indexOf(' ');
  return blank < 0 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)];
}
