/** Header values at the border of this process: text inside, UTF-8 bytes outside, which Node.js shows as byte text. */
import { byteText } from '@stallstall/kernel';

function mapValues(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  convert: (value: string) => string,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) => (value === undefined ? [] : [[name, convert(String(value))] as const])),
  );
}

/** @internal */
export const httpHeaders = {
  received: (headers: Readonly<Record<string, string | string[] | undefined>>) => mapValues(headers, byteText.decode),
  toSend: (headers: Readonly<Record<string, string>> | undefined) => mapValues(headers ?? {}, byteText.encode),
} as const;
