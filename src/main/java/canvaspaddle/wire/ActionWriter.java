package canvaspaddle.wire;

import canvaspaddle.OverloadControl.Host;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

/** Writes the actions of one instance, as the elements of a JSON array, in the order in which they come. */
final class ActionWriter implements Host {
    private static final JsonFactory FACTORY = new JsonFactory();

    private final long who;
    private final StringBuilder written = new StringBuilder();

    ActionWriter(long who) {
        this.who = who;
    }

    /** Writes the fields of an action after its name and instance. */
    private interface Body {
        void write(JsonGenerator json) throws IOException;
    }

    private void action(String name, Body body) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = FACTORY.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("what", name);
            json.writeNumberField("Who", who);
            body.write(json);
            json.writeEndObject();
        } catch (IOException broken) {
            throw new UncheckedIOException(broken);
        }
        if (written.length() > 0) {
            written.append(',');
        }
        written.append(text.getBuffer());
    }

    private void named(String name, String id) {
        action(name, json -> json.writeStringField("Job", id));
    }

    /** What was written since the last call. */
    String take() {
        String all = written.toString();
        written.setLength(0);
        return all;
    }

    void exception(String text) {
        action("Exception", json -> json.writeStringField("What", text));
    }

    @Override
    public void start(String id) {
        named("Start", id);
    }

    @Override
    public void call(String id, long until) {
        action("AskBelow", json -> {
            json.writeStringField("Job", id);
            json.writeNumberField("TryUntil", until);
        });
    }

    @Override
    public void skipCall(String id) {
        named("Omit", id);
    }

    @Override
    public void halt(String id) {
        named("Preempt", id);
    }

    @Override
    public void refuse(String id, boolean dontRetry, long stayAway) {
        action("Bounce", json -> {
            json.writeStringField("Job", id);
            if (dontRetry) {
                json.writeBooleanField("DontRetry", true);
            }
            if (stayAway > 0) {
                json.writeNumberField("Pause", stayAway);
            }
        });
    }

    @Override
    public void fail(String id) {
        named("EndFailed", id);
    }

    @Override
    public void remember(String id, long span) {
        action("Remember", json -> {
            json.writeStringField("Job", id);
            json.writeNumberField("Lifetime", span);
        });
    }

    @Override
    public void forget(String id) {
        named("DropKey", id);
    }

    @Override
    public void replay(String id) {
        named("Replay", id);
    }

    @Override
    public void timer(long at, String tag) {
        action("Timer", json -> {
            json.writeNumberField("Time", at);
            json.writeStringField("Tag", tag);
        });
    }

    @Override
    public void say(double value) {
        action("Stamp", json -> json.writeNumberField("X", value));
    }

    @Override
    public void health(boolean cheap, boolean good) {
        action("Health", json -> {
            json.writeBooleanField("Cheap", cheap);
            json.writeBooleanField("Want", good);
        });
    }

    @Override
    public void trimIdle(long span) {
        action("TrimAfter", json -> json.writeNumberField("Lifetime", span));
    }

    @Override
    public void log(String text) {
        action("Log", json -> json.writeStringField("What", text));
    }
}
