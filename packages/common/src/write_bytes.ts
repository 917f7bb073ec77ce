/** Writing to streams that may be slower than their source. */
import type {Writable} from 'node:stream';

/**
 * Writes bytes to a stream.
 *
 * @param stream - the stream
 * @param bytes - the bytes; nothing is written when there are none
 * @returns resolves once the stream takes more, or is closed
 */
export function writeBytes(stream: Writable, bytes: Buffer): Promise<void> {
  if (stream.destroyed || bytes.length === 0 || stream.write(bytes)) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const finish = (): void => {
      stream.off('drain', finish);
      stream.off('close', finish);
      resolve();
    };
    stream.on('drain', finish);
    stream.on('close', finish);
  });
}
