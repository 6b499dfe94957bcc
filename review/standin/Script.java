package review;

/** Runs a script's class. Exits with 2 if it fails, which is no statement about the rule. */
final class Script {

    private Script() {}

    public static void main(String[] args) {
        try {
            Class.forName("review." + args[0])
                    .getDeclaredMethod("main", String[].class)
                    .invoke(null, (Object) new String[] {args[1]});
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
