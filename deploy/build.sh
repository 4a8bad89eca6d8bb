# Build the package and its dependencies into target/, unless they are up to date.
set -e
built=target/deps/.built
if [ -e "$built" ] && [ -z "$(find src deploy setup.py pyproject.toml -newer "$built")" ]; then
    exit 0
fi
rm -rf target/deps target/work target/mypyc
pip="python3 -m pip install -q --disable-pip-version-check"
$pip -U --target target/tools -r deploy/tools.txt
$pip --target target/deps -r deploy/requirements.txt
export PYTHONPATH=target/tools
build="python3 setup.py -q build --build-base target/work --build-lib target/deps"
if ! CYCLAMENVANE_COMPILE=1 $build; then
    echo "compiling failed: building interpreted modules, which use more processor time" >&2
    $build
fi
touch "$built"
