/**
 * The conversion between names and the bytes that carry them. Streams and HTTP headers are read and written as byte text, with one character
 * for each byte; names from configurations, settings and heartbeats are ordinary text, and travel as UTF-8 (design 2.2).
 */

const asciiOnly = /^[\0-\x7f]*$/;
const beyondOneByte = /[^\0-\xff]/;
const loneSurrogate = /\p{Surrogate}/u;
const highBytes = /[\x80-\xff]/g;
/** The start of the range of surrogates that stand for bytes which are not valid UTF-8. */
const escapeOffset = 0xdc00;

/** Whether a text can be carried: half of a surrogate pair has no UTF-8. */
function isEncodable(text: string): boolean {
  return !loneSurrogate.test(text);
}

/** The UTF-8 bytes of a text, as byte text. Encodable texts that differ have different bytes. */
function encode(text: string): string {
  return asciiOnly.test(text) ? text : Buffer.from(text, 'utf8').toString('latin1');
}

function escapeHighBytes(bytes: string): string {
  return bytes.replace(highBytes, (byte) => String.fromCharCode(escapeOffset + byte.charCodeAt(0)));
}

/**
 * The text whose UTF-8 these bytes are. Bytes that are not valid UTF-8 become a text that is not encodable, so that it equals no accepted
 * name; bytes that differ become different texts. A text with characters beyond one byte is text already and is returned as it is.
 */
function decode(bytes: string): string {
  if (asciiOnly.test(bytes) || beyondOneByte.test(bytes)) return bytes;
  const text = Buffer.from(bytes, 'latin1').toString('utf8');
  return encode(text) === bytes ? text : escapeHighBytes(bytes);
}

export const byteText = { isEncodable, encode, decode } as const;
