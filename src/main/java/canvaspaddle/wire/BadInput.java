package canvaspaddle.wire;

import java.io.IOException;

/** An event line that cannot be understood; the message names the field. */
final class BadInput extends IOException {
    private static final long serialVersionUID = 1L;

    BadInput(String message) {
        super(message);
    }
}
